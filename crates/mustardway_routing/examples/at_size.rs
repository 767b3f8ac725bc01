//! Measures the routing tables at the design size: 17,000 targets of 2,300
//! services in 6 failure domains, behind 2,000 instances.
//!
//! Prints the time in milliseconds to build the pools of a view and to find the
//! next owner of every target, and the distribution of the targets over the
//! instances.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use mustardway_routing::live::{self, Instances};
use mustardway_routing::snapshot::{Plan, Snapshot};
use mustardway_types::time::Span;
use mustardway_types::{instance, service};
use mustardway_view::model::{Domain, DomainState, Limits, Service, Target, TargetState, View};

const TARGETS: usize = 17_000;
const SERVICES: usize = 2_300;
const INSTANCES: usize = 2_000;
const DOMAINS: usize = 6;
const ROUNDS: usize = 7;

fn main() {
    let view = Arc::new(view());
    let mut snapshot = Snapshot::empty(name(0));
    snapshot.live = live();
    let pools = timed(|| snapshot.plan = Some(Arc::new(Plan::new(Arc::clone(&view)))));
    println!("pools of a view, ms: {pools}");
    let mut owned: BTreeMap<instance::Id, usize> = BTreeMap::new();
    let successors = timed(|| {
        owned.clear();
        for id in view.targets.keys() {
            let successor = snapshot.successor(id).expect("there are live instances");
            *owned.entry(successor.id.clone()).or_default() += 1;
        }
    });
    println!("next owner of every target, ms: {successors}");
    let mut counts: Vec<usize> = owned.into_values().collect();
    counts.sort_unstable();
    let idle = INSTANCES - counts.len();
    let most = counts.last().copied().unwrap_or_default();
    println!(
        "targets an instance: median {}, most {most}, none at {idle}",
        counts[counts.len() / 2]
    );
}

/// Runs `work` [`ROUNDS`] times and returns the minimum, median and maximum time
/// in milliseconds.
fn timed(mut work: impl FnMut()) -> String {
    let mut millis: Vec<f64> = Vec::with_capacity(ROUNDS);
    for _ in 0..ROUNDS {
        let start = Instant::now();
        work();
        millis.push(start.elapsed().as_secs_f64() * 1e3);
    }
    millis.sort_by(f64::total_cmp);
    format!("{:.1} / {:.1} / {:.1}", millis[0], millis[ROUNDS / 2], millis[ROUNDS - 1])
}

fn name(number: usize) -> instance::Id {
    format!("instance-{number}").parse().expect("a valid name")
}

fn domain(number: usize) -> mustardway_types::domain::Name {
    format!("domain-{}", number % DOMAINS).parse().expect("a valid name")
}

fn live() -> Instances {
    let mut live = Instances::default();
    let peer = "10.0.0.1:7001".parse().expect("a valid address");
    for number in 0..INSTANCES {
        live.insert(domain(number), live::Instance::new(name(number), peer, false));
    }
    live
}

fn view() -> View {
    let mut view = View::default();
    for number in 0..DOMAINS {
        let state = DomainState::In;
        view.domains.insert(domain(number), Domain { region: "region".into(), state });
    }
    for number in 0..SERVICES {
        let service: service::Name = format!("service-{number}").parse().expect("a valid name");
        let address = format!("10.1.{}.{}:443", number / 250, number % 250).parse();
        let address = address.expect("a valid address");
        view.services.insert(service.clone(), Service { addresses: vec![address] });
        view.addresses.insert(address, service);
    }
    for number in 0..TARGETS {
        let id = format!("target-{number}").parse().expect("a valid name");
        view.targets.insert(id, target(number));
    }
    view
}

fn target(number: usize) -> Target {
    Target {
        service: format!("service-{}", number % SERVICES).parse().expect("a valid name"),
        domain: domain(number / 7),
        endpoint: format!("10.2.{}.{}:80", number / 250, number % 250)
            .parse()
            .expect("a valid address"),
        state: TargetState::Serving,
        weight: 100,
        limits: Limits {
            slots: 4,
            cold_slots: 1,
            connections: 2_000,
            warm_up: Span::seconds(30),
            queue: 8,
        },
    }
}
