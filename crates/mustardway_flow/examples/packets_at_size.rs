//! Measures one instance of the packet front at the size to design for: time per
//! packet and per new flow, and memory.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Instant as Clock;

use mustardway_flow::front::{Event, Front};
use mustardway_flow::packet::{Flags, Packet};
use mustardway_flow::token::Token;
use mustardway_mirror::publication::{
    Change, Configuration, Item, Registration, Repeat, Route, Service, Share,
};
use mustardway_types::time::{Instant, Span};

/// Number of targets in the whole system.
const TARGETS: u32 = 17_000;
/// Number of routes in the whole system. Each leads to a service of its own.
const ROUTES: u32 = 2_300;
/// Number of flows of one instance: 17 million over 2,000 instances.
const FLOWS: u32 = 8_500;

fn address(first: u8, number: u32, port: u16) -> SocketAddrV4 {
    let [_, second, third, fourth] = number.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(first, second, third, fourth), port)
}

fn configuration() -> Configuration {
    let mut configuration = Configuration { version: 1, ..Configuration::default() };
    configuration.idle = Span::seconds(15);
    for number in 0..ROUTES {
        let service: mustardway_types::service::Name =
            format!("service-{number}").parse().expect("well formed");
        configuration.routes.push(Route {
            name: format!("r-{number}").into(),
            address: address(198, number, 443),
            shares: vec![Share { service: service.clone(), weight: 1 }],
            repeat: Repeat::Free,
            urgency: 1,
            aim: Span::millis(250),
            limit: Span::seconds(4),
        });
        configuration.services.push(Service {
            name: service,
            health: "/health".into(),
            cold_rate: None,
        });
    }
    configuration
}

fn registration(number: u32) -> Registration {
    Registration {
        id: format!("i-{number:08x}").parse().expect("well formed"),
        key: u64::from(number),
        service: format!("service-{}", number % ROUTES).parse().expect("well formed"),
        address: address(10, number, 8_080),
        domain: format!("domain-{}", number % 6).parse().expect("well formed"),
        slots: 4,
        leaving: false,
        cold: Span::ZERO,
        born: Some(1),
    }
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> u64 {
    const PAGE_KIB: u64 = 4;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_KIB
}

fn opening(flow: u32) -> Packet {
    Packet {
        source: address(100, flow, 40_000),
        destination: address(198, flow % ROUTES, 443),
        flags: Flags { opens: true, ..Flags::default() },
        token: Token::NONE,
        sequence: 1,
        acknowledgement: 0,
        length: 0,
    }
}

fn main() {
    let start = resident_kib();
    let me = "i-1".parse().expect("well formed");
    let home = "domain-0".parse().expect("well formed");
    let mut front = Front::new(me, home, 1);
    let mut now = Instant::default() + Span::seconds(3_600);
    let mut actions = Vec::new();
    let mut changes = vec![Change::Put(Item::Configuration(Arc::new(configuration())))];
    changes.extend((0..TARGETS).map(|number| Change::Put(Item::Target(registration(number)))));
    let clock = Clock::now();
    front.handle(now, Event::Published(changes), &mut actions);
    front.handle(now, Event::Confirmed(now), &mut actions);
    println!("whole state applied in {} ms", clock.elapsed().as_millis());
    println!("directory {} KiB resident", resident_kib() - start);
    let change = || Change::Put(Item::Target(registration(TARGETS)));
    let clock = Clock::now();
    front.handle(now, Event::Published(vec![change()]), &mut actions);
    println!("one new target applied in {} us", clock.elapsed().as_micros());
    let before = resident_kib();
    let clock = Clock::now();
    for flow in 0..FLOWS {
        front.packet(&opening(flow), now, &mut actions);
        actions.clear();
    }
    println!("new flow {} ns", clock.elapsed().as_nanos() / u128::from(FLOWS));
    println!("{FLOWS} flows {} KiB resident", resident_kib() - before);
    now = now + Span::millis(5);
    const ROUNDS: u32 = 20;
    let clock = Clock::now();
    for round in 0..ROUNDS {
        for flow in 0..FLOWS {
            let number = flow % ROUTES;
            let packet = Packet {
                flags: Flags { acknowledges: true, ..Flags::default() },
                token: Token::of(&format!("i-{number:08x}").parse().expect("well formed")),
                acknowledgement: round * 1_000 + 1,
                ..opening(flow)
            };
            front.packet(&packet, now, &mut actions);
            actions.clear();
        }
    }
    let packets = u128::from(ROUNDS * FLOWS);
    println!(
        "packet of an open flow, including its construction, {} ns",
        clock.elapsed().as_nanos() / packets
    );
    let clock = Clock::now();
    for _ in 0..ROUNDS {
        now = now + Span::millis(50);
        front.handle(now, Event::Tick, &mut actions);
        actions.clear();
    }
    println!("tick {} us", clock.elapsed().as_micros() / u128::from(ROUNDS));
}
