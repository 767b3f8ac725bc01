//! Cost of a new flow and of a packet of an open flow, for services of 7, 14 and 120
//! targets: the mean at the size to design for, and the users' sites.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use criterion::{Criterion, criterion_group, criterion_main};
use mustardway_flow::front::{Event, Front};
use mustardway_flow::packet::{Flags, Packet};
use mustardway_flow::token::Token;
use mustardway_mirror::publication::{
    Change, Configuration, Item, Registration, Repeat, Route, Service, Share,
};
use mustardway_types::target;
use mustardway_types::time::{Instant, Span};

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

fn id(number: u32) -> target::Id {
    format!("t-{number:08x}").parse().expect("well formed")
}

fn configuration() -> Configuration {
    let service: mustardway_types::service::Name = "s".parse().expect("well formed");
    let route = Route {
        name: "r".into(),
        address: ROUTE,
        shares: vec![Share { service: service.clone(), weight: 1 }],
        repeat: Repeat::Free,
        urgency: 1,
        aim: Span::millis(250),
        limit: Span::seconds(4),
    };
    let health = "/health".into();
    let services = vec![Service { name: service, health, cold_rate: None }];
    Configuration { version: 1, routes: vec![route], services, idle: Span::seconds(15) }
}

fn registration(number: u32) -> Registration {
    Registration {
        id: id(number),
        key: u64::from(number),
        service: "s".parse().expect("well formed"),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 8_000),
        domain: format!("d-{}", number % 3).parse().expect("well formed"),
        slots: 4,
        leaving: false,
        cold: Span::ZERO,
        born: None,
    }
}

fn front(targets: u32, now: Instant) -> Front {
    let (me, home) = ("i-1".parse().expect("well formed"), "d-0".parse().expect("well formed"));
    let mut front = Front::new(me, home, 1);
    let mut changes = vec![Change::Put(Item::Configuration(Arc::new(configuration())))];
    changes.extend((1..=targets).map(|number| Change::Put(Item::Target(registration(number)))));
    front.handle(now, Event::Published(changes), &mut Vec::new());
    front.handle(now, Event::Confirmed(now), &mut Vec::new());
    front
}

fn packet(number: u32, opens: bool) -> Packet {
    Packet {
        source: SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + number), 40_000),
        destination: ROUTE,
        flags: Flags { opens, acknowledges: !opens, ..Flags::default() },
        token: if opens { Token::NONE } else { Token::of(&id(1)) },
        sequence: 1_000,
        acknowledgement: 0,
        length: 0,
    }
}

fn packets(criterion: &mut Criterion) {
    let now = Instant::default() + Span::seconds(3_600);
    for targets in [7, 14, 120] {
        let mut instance = front(targets, now);
        let mut number = 0;
        criterion.bench_function(&format!("new flow, {targets} targets"), |bencher| {
            bencher.iter(|| {
                number += 1;
                instance.packet(&packet(number, true), now, &mut Vec::new())
            });
        });
        let mut instance = front(targets, now);
        criterion.bench_function(&format!("open flow, {targets} targets"), |bencher| {
            bencher.iter(|| instance.packet(&packet(1, false), now, &mut Vec::new()));
        });
    }
}

criterion_group!(benches, packets);
criterion_main!(benches);
