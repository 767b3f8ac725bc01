//! A small view, live instances and packet headers for tests.

#![allow(clippy::unwrap_used)]
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;

use mustardway_routing::live::{Instance, Instances};
use mustardway_routing::snapshot::{Plan, Snapshot};
use mustardway_types::packet::Header;
use mustardway_types::request::{Repeat, Urgency};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{address, flow, request, revision, service, target};
use mustardway_view::model::{Domain, DomainState, Limits, Service, Target, TargetState, View};

pub const DOMAINS: [&str; 3] = ["cordoba", "rosario", "santa-fe"];
pub const NOW: Instant = Instant(1_000_000);
pub const DEADLINE: Instant = Instant(6_000_000);

pub fn address() -> address::Address {
    "10.0.0.1:80".parse().unwrap()
}

pub fn view(targets: usize) -> View {
    let mut view = View { revision: revision::Number(1), ..View::default() };
    for name in DOMAINS {
        let domain = Domain { region: "ar-centro".into(), state: DomainState::In };
        view.domains.insert(name.parse().unwrap(), domain);
    }
    let service: service::Name = "reservas".parse().unwrap();
    view.services.insert(service.clone(), Service { addresses: vec![address()] });
    view.addresses.insert(address(), service.clone());
    for number in 0..targets {
        view.targets.insert(target(number), new_target(&service, number));
    }
    view
}

pub fn target(number: usize) -> target::Id {
    format!("target-{number}").parse().unwrap()
}

pub fn new_target(service: &service::Name, number: usize) -> Target {
    Target {
        service: service.clone(),
        domain: DOMAINS[number % 3].parse().unwrap(),
        endpoint: format!("10.1.0.{}:80", number + 1).parse().unwrap(),
        state: TargetState::Serving,
        weight: 100,
        limits: Limits {
            slots: 2,
            cold_slots: 1,
            connections: 100,
            warm_up: Span::seconds(5),
            queue: 8,
        },
    }
}

pub fn live(per_domain: usize) -> Instances {
    let mut live = Instances::default();
    for name in DOMAINS {
        for number in 0..per_domain {
            let id = format!("{name}-{number}").parse().unwrap();
            live.insert(
                name.parse().unwrap(),
                Instance::new(id, "10.2.0.1:1".parse().unwrap(), false),
            );
        }
    }
    live
}

pub fn snapshot(view: View, live: Instances) -> Snapshot {
    let mut snapshot = Snapshot::empty("rosario-0".parse().unwrap());
    snapshot.plan = Some(Arc::new(Plan::new(Arc::new(view))));
    snapshot.live = live;
    snapshot
}

pub fn header(flow: u64) -> Header {
    Header {
        address: address(),
        flow: flow::Id(flow),
        request: request::Id(1),
        part: 0,
        parts: 1,
        opening: true,
        closing: false,
        repeat: Repeat::Once,
        attempt: 1,
        urgency: Urgency::Ordinary,
    }
}

pub fn earlier_services() -> BTreeMap<address::Address, Vec<service::Name>> {
    BTreeMap::from([(address(), vec!["reservas".parse().unwrap()])])
}
