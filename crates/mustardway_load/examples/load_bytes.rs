//! Prints the bytes per second that instances send and receive, and how long it takes until
//! all instances know a target that has become slow.
//!
//! A quarter of the targets takes 3 times as long as the others. Each target answers 14
//! requests per second, through random instances. There are 8 routes, with requests spread
//! evenly. Bytes are those of the encoded messages plus 60 for framing each. The figures are
//! means over 10 s, after 20 s.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Fleet, Member};
use mustardway_types::time::Span;

const INSTANCES: [usize; 3] = [30, 100, 300];
const TARGETS: [usize; 3] = [300, 1_000, 3_000];
const DOMAINS: usize = 3;
const ROUTES: u16 = 8;
const WARM_UP: Span = Span::seconds(20);
const MEASURED: Span = Span::seconds(10);
const KNOWN_LIMIT: Span = Span::seconds(60);
/// Slowness above which a target counts as known to be slow.
const SLOW: f64 = 1.33;

fn main() {
    println!("instances targets | busiest KB/s: sent received both | mean: sent received | known");
    for instances in INSTANCES {
        for targets in TARGETS {
            measure(instances, targets);
        }
    }
}

fn measure(instances: usize, targets: usize) {
    let mut fleet = Fleet::new(instances, DOMAINS, targets);
    fleet.routes = ROUTES;
    for target in fleet.targets.iter_mut().step_by(4) {
        target.slow = 3.0;
    }
    fleet.run(WARM_UP);
    for member in &mut fleet.members {
        (member.sent_bytes, member.received_bytes) = (0, 0);
    }
    fleet.run(MEASURED);
    let rate = |bytes: u64| bytes as f64 / MEASURED.as_seconds() / 1_000.0;
    let both = |member: &Member| member.sent_bytes + member.received_bytes;
    let Some(busiest) = fleet.members.iter().max_by_key(|member| both(member)) else { return };
    let sent: u64 = fleet.members.iter().map(|member| member.sent_bytes).sum();
    let received: u64 = fleet.members.iter().map(|member| member.received_bytes).sum();
    let line = format!(
        "{instances:9} {targets:7} | {:18.1} {:8.1} {:4.1} | {:10.1} {:8.1}",
        rate(busiest.sent_bytes),
        rate(busiest.received_bytes),
        rate(both(busiest)),
        rate(sent) / instances as f64,
        rate(received) / instances as f64,
    );
    let key = fleet.targets[1].key;
    fleet.targets[1].slow = 6.0;
    let known = fleet.run_until(KNOWN_LIMIT, |node| node.view().slowness(key) > SLOW);
    match known {
        Some(known) => println!("{line} | {:.1} s", known.as_seconds()),
        None => println!("{line} | not within {KNOWN_LIMIT}"),
    }
}
