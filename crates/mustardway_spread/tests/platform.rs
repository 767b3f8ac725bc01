//! Behaviour with a platform that is down, publishes an older revision or other files
//! under the same number, or publishes invalid revisions.

mod common;

use assert_matches::assert_matches;
use common::{Fleet, answer, files, replica};
use mustardway_spread::action::Action;
use mustardway_spread::event::Event;
use mustardway_spread::platform::{Answer, Content, Failure};
use mustardway_spread::replica::Replica;
use mustardway_spread::report;
use mustardway_types::revision::Number;
use mustardway_types::time::{Instant, Span};

const START: Instant = Instant(1_000_000);

fn handle(replica: &mut Replica, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    replica.handle(START + Span::seconds(5), event, &mut actions);
    actions
}

fn replica_at(number: u64) -> Replica {
    let mut replica = replica(0, 1, START);
    handle(&mut replica, Event::Platform(Ok(answer(number))));
    handle(&mut replica, Event::Verdict { number: Number(number), accepted: true });
    assert_eq!(replica.in_force().number, Number(number));
    replica
}

fn reports(actions: &[Action]) -> Vec<&report::Kind> {
    let mut kinds = Vec::new();
    for action in actions {
        if let Action::Report(kind) = action {
            kinds.push(kind);
        }
    }
    kinds
}

#[test]
fn older_revision_is_reported_once() {
    let mut replica = replica_at(5);
    let actions = handle(&mut replica, Event::Platform(Ok(answer(4))));
    assert_matches!(reports(&actions)[..], [report::Kind::PlatformStale { number: Number(4) }]);
    assert!(!actions.iter().any(|action| matches!(action, Action::Propose(_))));
    let actions = handle(&mut replica, Event::Platform(Ok(answer(4))));
    assert!(reports(&actions).is_empty(), "reported twice");
    assert_eq!(replica.counts().stale, 2);
    assert_eq!(replica.in_force().number, Number(5));
}

#[test]
fn other_files_under_same_number_are_reported() {
    let mut replica = replica_at(5);
    let other = Answer { number: Number(5), content: Content::Whole(files(6)) };
    let actions = handle(&mut replica, Event::Platform(Ok(other)));
    assert_matches!(reports(&actions)[..], [report::Kind::PlatformConflict { number: Number(5) }]);
    assert_eq!(replica.in_force().files, files(5));
}

#[test]
fn failure_is_reported_once() {
    let mut replica = replica_at(5);
    let actions = handle(&mut replica, Event::Platform(Err(Failure::Nonsense)));
    assert_matches!(
        reports(&actions)[..],
        [report::Kind::PlatformFailed { failure: Failure::Nonsense }]
    );
    let actions = handle(&mut replica, Event::Platform(Err(Failure::Unreachable)));
    assert!(reports(&actions).is_empty());
    let actions = handle(&mut replica, Event::Platform(Ok(answer(5))));
    assert_matches!(reports(&actions)[..], [report::Kind::PlatformRecovered]);
}

#[test]
fn verdict_for_other_revision_is_ignored() {
    let mut replica = replica_at(5);
    handle(&mut replica, Event::Platform(Ok(answer(6))));
    handle(&mut replica, Event::Verdict { number: Number(7), accepted: true });
    assert_eq!(replica.in_force().number, Number(5));
    handle(&mut replica, Event::Verdict { number: Number(6), accepted: true });
    assert_eq!(replica.in_force().number, Number(6));
}

#[test]
fn too_large_revision_is_refused() {
    let mut replica = replica_at(5);
    let mut large = files(6);
    large.insert("50-large.ini".into(), vec![0; 17 << 20].into());
    let large = Answer { number: Number(6), content: Content::Whole(large) };
    let actions = handle(&mut replica, Event::Platform(Ok(large)));
    assert_matches!(reports(&actions)[..], [report::Kind::TooLarge { number: Number(6) }]);
    assert_eq!(replica.in_force().number, Number(5));
}

#[test]
fn refused_revision_is_not_pulled_again() {
    let mut fleet = Fleet::settled(9, 3, 1);
    fleet.rejected.insert(2);
    fleet.publish(2);
    fleet.run(Span::seconds(6));
    assert!(fleet.all_at(1));
    let refused: u64 = fleet.hosts.iter().map(|host| host.replica.counts().refused).sum();
    assert!((1..=9).contains(&refused), "{refused} refused");
    fleet.platform.calls = 0;
    fleet.run(Span::seconds(60));
    assert!(fleet.platform.calls <= 6 * 3, "{} calls", fleet.platform.calls);
    let pulls: u64 = fleet.hosts.iter().map(|host| host.replica.counts().pulls).sum();
    fleet.run(Span::seconds(10));
    let later: u64 = fleet.hosts.iter().map(|host| host.replica.counts().pulls).sum();
    assert_eq!(pulls, later);
    fleet.publish(3);
    assert!(fleet.run_until(Span::seconds(6), |fleet| fleet.all_at(3)).is_some());
}

#[test]
fn fleet_backs_off_and_recovers_from_outage() {
    let mut fleet = Fleet::settled(60, 6, 1);
    fleet.fail_platform(Some(Failure::Unreachable));
    fleet.run(Span::seconds(120));
    assert!(fleet.all_at(1));
    fleet.platform.calls = 0;
    fleet.run(Span::seconds(60));
    // 12 readers back off to 1 to 2 s, 48 other instances to 32 to 64 s.
    assert!(fleet.platform.calls < 12 * 60 + 48 * 3, "{} calls", fleet.platform.calls);
    fleet.publish(2);
    fleet.fail_platform(None);
    assert!(fleet.run_until(Span::seconds(6), |fleet| fleet.all_at(2)).is_some());
}

#[test]
fn resumed_instance_takes_latest_revision() {
    let mut fleet = Fleet::settled(9, 3, 1);
    fleet.hosts[4].running = false;
    for number in 2..9 {
        fleet.publish(number);
        fleet.run(Span::seconds(1));
    }
    fleet.hosts[4].running = true;
    assert!(fleet.run_until(Span::seconds(6), |fleet| fleet.all_at(8)).is_some());
    assert_eq!(fleet.hosts[4].history, [1, 8]);
}
