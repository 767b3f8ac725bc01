//! Prints the bytes per second that instances send and receive, and how long it takes until
//! all instances know targets that have become slow. Two arguments choose one case: the number
//! of instances and that of targets.
//!
//! A quarter of the targets takes 3 times as long as the others, and later 8 more 6 times as
//! long. Each target answers 14
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
/// Targets that become slow.
const CHANGED: [usize; 8] = [1, 2, 3, 5, 6, 7, 9, 10];

fn main() {
    println!(
        "instances targets | busiest KB/s: sent received both | mean: sent received | known s: mean longest"
    );
    let arguments: Vec<usize> = std::env::args().filter_map(|text| text.parse().ok()).collect();
    if let [instances, targets] = arguments[..] {
        measure(instances, targets);
        return;
    }
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
    for index in CHANGED {
        fleet.targets[index].slow = 6.0;
    }
    let known = times_until_known(&mut fleet);
    let mean = known.iter().sum::<f64>() / known.len() as f64;
    let longest = known.iter().copied().fold(0.0, f64::max);
    println!("{line} | {mean:4.1} {longest:7.1}");
}

/// Returns the seconds until each of the changed targets is known to be slow everywhere.
fn times_until_known(fleet: &mut Fleet) -> Vec<f64> {
    let start = fleet.now;
    let mut times = vec![KNOWN_LIMIT.as_seconds(); CHANGED.len()];
    let mut open: Vec<usize> = (0..CHANGED.len()).collect();
    while !open.is_empty() && fleet.now.since(start) < KNOWN_LIMIT {
        fleet.run(Span::millis(50));
        open.retain(|at| {
            let key = fleet.targets[CHANGED[*at]].key;
            let is_known = fleet.live().all(|member| member.node.view().slowness(key) > SLOW);
            if is_known {
                times[*at] = fleet.now.since(start).as_seconds();
            }
            !is_known
        });
    }
    times
}
