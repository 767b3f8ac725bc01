//! Arbitrary messages cause no panic and no estimates out of range.

mod common;

use common::{Fleet, id};
use mustardway_load::column::{TargetEstimates, TargetSums};
use mustardway_load::message::{Body, Message, Report, RouteEstimate, RouteSums, Summary};
use mustardway_load::node::{Event, Node};
use mustardway_types::time::Span;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use prost::Message as _;

const SEED: [u8; 32] = [43; 32];

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    TestRunner::new_with_rng(config, rng)
}

fn numbers() -> impl Strategy<Value = u64> {
    prop_oneof![0u64..20, 0u64..70_000, Just(1 << 48), any::<u64>()]
}

fn counts() -> impl Strategy<Value = u32> {
    prop_oneof![0u32..20, 0u32..70_000, 9_999_990u32..10_000_010, any::<u32>()]
}

fn columns<T: std::fmt::Debug>(
    value: impl Strategy<Value = T> + 'static,
) -> impl Strategy<Value = Vec<T>> {
    // Mostly of the same length, else the columns would hardly ever be accepted.
    let value = value.boxed();
    prop_oneof![6 => vec(value.clone(), 2), 2 => Just(()).prop_map(|()| Vec::new()), 1 => vec(value, 0..5)]
}

prop_compose! {
    fn target_sums()(
        keys in columns(0u32..9), answers in columns(counts()),
        without_speed in columns(counts()), ratio_millis in columns(numbers()),
        short in columns(counts()), contributors in columns(counts()),
    ) -> TargetSums {
        TargetSums { keys, answers, without_speed, ratio_millis, short, contributors }
    }
}

prop_compose! {
    fn target_estimates()(
        keys in columns(0u32..9), slowness_millis in columns(counts()),
        short_millis in columns(counts()),
    ) -> TargetEstimates {
        TargetEstimates { keys, slowness_millis, short_millis }
    }
}

prop_compose! {
    fn route_sums()(
        key in 0u64..9, c in [counts(), counts(), counts(), counts(), counts(), counts(),
        counts(), counts()], time_micros in numbers(),
    ) -> RouteSums {
        let [opens, requests, refused, answers, timed, short, flows, unqueued] = c;
        RouteSums {
            key, opens, requests, refused, answers, timed, time_micros, short, flows, unqueued,
        }
    }
}

prop_compose! {
    fn reports()(
        targets in proptest::option::of(target_sums().prop_map(Box::new)), routes in vec(route_sums(), 0..4),
        is_domain in any::<bool>(), number in numbers(),
    ) -> Body {
        Body::Report(Report { targets, routes, is_domain, number })
    }
}

prop_compose! {
    fn summaries()(
        number in numbers(), spread_millis in counts(),
        targets in proptest::option::of(target_estimates()),
        routes in vec((0u64..9, [numbers(), numbers(), numbers(), numbers(), numbers(), numbers()],
            [counts(), counts()]), 0..4),
    ) -> Body {
        let route = |(key, rates, values): (u64, [u64; 6], [u32; 2])| {
            let [opens_millis, requests_millis, refused_millis, base_micros, answers_millis, service_micros] = rates;
            let [flows, short_millis] = values;
            RouteEstimate {
                key, opens_millis, requests_millis, refused_millis, flows, base_micros,
                answers_millis, short_millis, service_micros,
            }
        };
        Body::Summary(Summary {
            number,
            spread_millis,
            targets,
            routes: routes.into_iter().map(route).collect(),
        })
    }
}

fn assert_in_range(node: &Node) -> Result<(), TestCaseError> {
    let view = node.view();
    let is_in = |value: f64, max: f64| value.is_finite() && (0.0..=max).contains(&value);
    prop_assert!(is_in(view.spread(), 64.0), "spread {}", view.spread());
    for (_, load) in view.targets() {
        prop_assert!(load.slowness > 0.0 && is_in(load.slowness, 64.0), "{load:?}");
        prop_assert!(is_in(load.short_share, 1.0), "{load:?}");
    }
    for (_, load) in view.routes() {
        for rate in [load.opens, load.requests, load.refused, load.answers, load.flows] {
            prop_assert!(is_in(rate, 1e10), "{load:?}");
        }
        prop_assert!(load.base_time <= Span::seconds(60), "{load:?}");
        prop_assert!(is_in(load.short_share, 1.0), "{load:?}");
    }
    Ok(())
}

/// Passes messages to an inner instance and to roots, and lets them become roots.
fn pass_all(messages: &[Message]) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(7, 2, 4);
    fleet.run(Span::millis(600));
    for message in messages {
        for index in 0..7 {
            let event = Event::Received { from: id((index + 2) % 7), message: message.clone() };
            fleet.pass(index, event);
        }
        fleet.run(Span::millis(260));
        for member in &fleet.members {
            assert_in_range(&member.node)?;
        }
    }
    let root = fleet.root(0);
    fleet.members[root].is_up = false;
    fleet.update_topologies();
    fleet.run(Span::millis(1_600));
    for member in &fleet.members {
        assert_in_range(&member.node)?;
    }
    Ok(())
}

/// Guards against a damaged message that stops an instance.
#[test]
fn arbitrary_bytes_cause_no_panic() {
    let bytes = vec(any::<u8>(), 0..200);
    let result = runner(5_000).run(&bytes, |bytes| {
        let Ok(message) = Message::decode(bytes.as_slice()) else { return Ok(()) };
        pass_all(&[message])
    });
    result.unwrap();
}

/// Guards against a value of a faulty instance that spoils the estimates of all others, and
/// against numbers that overflow.
#[test]
fn arbitrary_values_give_no_estimates_out_of_range() {
    let messages = vec(prop_oneof![reports(), summaries()].prop_map(Message::from), 1..6);
    runner(300).run(&messages, |messages| pass_all(&messages)).unwrap();
}

prop_compose! {
    /// Makes sums that are in range and consistent.
    fn valid_report()(
        key in 0u32..9, answers in 0u32..=10_000_000, c in [0.0..=1.0, 0.0..=1.0],
        others in [0u32..=10_000_000, 0u32..=10_000_000, 0u32..=10_000_000, 0u32..=10_000_000],
        mean_ratio in 0.0..=8.0, mean_micros in 0u64..=60_000_000, is_domain in any::<bool>(),
    ) -> Message {
        let of_answers = |share: f64| (f64::from(answers) * share) as u32;
        let [samples, short] = c.map(of_answers);
        let [opens, requests, refused, flows] = others;
        let target = TargetSums {
            keys: vec![key],
            answers: vec![answers],
            without_speed: vec![answers - samples],
            ratio_millis: vec![(f64::from(samples) * mean_ratio * 1_000.0) as u64],
            short: vec![short],
            contributors: vec![3],
        };
        let timed = answers - short;
        let route = RouteSums {
            key: key.into(), opens, requests, refused, answers, timed, short, flows,
            time_micros: u64::from(timed) * mean_micros, unqueued: timed,
        };
        let report = Report { targets: Some(Box::new(target)), routes: vec![route], is_domain, number: 9 };
        Body::Report(report).into()
    }
}

/// Guards against estimates that a root makes of valid sums and that the receivers of its
/// summary reject, so that they get no estimates at all.
#[test]
fn estimates_of_valid_sums_are_accepted_everywhere() {
    let result = runner(200).run(&vec(valid_report(), 1..5), |messages| {
        let mut fleet = Fleet::new(7, 2, 4);
        fleet.run(Span::millis(600));
        for message in &messages {
            for index in 0..7 {
                let event = Event::Received { from: id((index + 2) % 7), message: message.clone() };
                fleet.pass(index, event);
            }
            fleet.run(Span::millis(260));
        }
        fleet.run(Span::seconds(2));
        for member in &fleet.members {
            prop_assert_eq!(member.node.counts().ignored, 0);
            assert_in_range(&member.node)?;
        }
        Ok(())
    });
    result.unwrap();
}
