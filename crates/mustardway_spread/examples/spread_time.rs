//! Measures the time until a revision is in force everywhere, and the cost of
//! replication per node.
//!
//! Replicas run over a neighbour graph like that of membership, in 6 failure domains
//! (3 at 9 instances) with two readers each, over links with 0.3 to 0.7 ms delay.
//! Verdicts on revisions are given at once. The set has 21 files, of which one to
//! three change between revisions. Bytes are the encoded message plus an estimate of
//! 4 bytes of frame length and 52 bytes of IP and TCP headers; heartbeats belong to
//! membership and are not counted. Arguments: fleet sizes, by default 9 90 900 2000.

#[path = "../tests/common/mod.rs"]
mod common;

use common::Fleet;
use mustardway_spread::platform::Failure;
use mustardway_types::time::Span;

/// Number of revisions that are timed in each phase.
const REVISIONS: u64 = 10;
/// Longest time that is waited for a revision to be in force everywhere.
const LIMIT: Span = Span::seconds(60);
/// Changes of configuration per day at the size that the system is designed for.
const CHANGES_PER_DAY: f64 = 1_600.0;
/// Number of seconds in a day.
const SECONDS_PER_DAY: f64 = 86_400.0;

fn main() {
    let mut sizes: Vec<usize> = std::env::args().skip(1).flat_map(|size| size.parse()).collect();
    if sizes.is_empty() {
        sizes = vec![9, 90, 900, 2_000];
    }
    println!("all figures of one run with seed 1 for each size; seconds are min/median/max");
    for size in sizes {
        measure(size);
    }
}

fn measure(size: usize) {
    let domains = if size <= 9 { 3 } else { 6 };
    let mut fleet = Fleet::new(size, domains, 1);
    let calls = fleet.platform.calls;
    let joined = fleet.run_until(LIMIT, |fleet| fleet.all_at(1));
    fleet.run(Span::seconds(5));
    println!(
        "{size} instances: cold start {:.2} s, {} platform calls in 5 s",
        seconds(joined),
        fleet.platform.calls - calls,
    );
    quiet(&mut fleet);
    let number = without_loss(&mut fleet);
    lossy(&mut fleet, number);
    outage(&mut fleet, number + REVISIONS);
}

fn seconds(span: Option<Span>) -> f64 {
    span.map_or(f64::NAN, Span::as_seconds)
}

fn quiet(fleet: &mut Fleet) {
    fleet.platform.calls = 0;
    let sent: u64 = fleet.hosts.iter().map(|host| host.sent).sum();
    fleet.run(Span::seconds(60));
    let later: u64 = fleet.hosts.iter().map(|host| host.sent).sum();
    println!(
        "  quiet for 60 s: {:.2} platform calls/s, {} messages",
        fleet.platform.calls as f64 / 60.0,
        later - sent,
    );
}

/// Publishes revisions over links without loss, prints time and cost, and returns
/// the number of the last one.
fn without_loss(fleet: &mut Fleet) -> u64 {
    let before: Vec<u64> = fleet.hosts.iter().map(|host| host.bytes).collect();
    fleet.platform.calls = 0;
    let times = publish(fleet, 1);
    let mut bytes = Vec::new();
    for (host, before) in fleet.hosts.iter().zip(before) {
        bytes.push(host.bytes - before);
    }
    let mean = bytes.iter().sum::<u64>() as f64 / bytes.len() as f64 / REVISIONS as f64;
    let most = bytes.iter().copied().max().unwrap_or(0) as f64 / REVISIONS as f64;
    let calls = fleet.platform.calls as f64 / REVISIONS as f64;
    println!("  in force everywhere after {times} s");
    println!(
        "  for each revision: {mean:.0} bytes a node (most {most:.0}), {calls:.1} platform calls"
    );
    println!(
        "  at {CHANGES_PER_DAY} revisions a day: {:.1} B/s a node (most {:.1}), {:.2} platform calls/s",
        mean * CHANGES_PER_DAY / SECONDS_PER_DAY,
        most * CHANGES_PER_DAY / SECONDS_PER_DAY,
        calls * CHANGES_PER_DAY / SECONDS_PER_DAY,
    );
    1 + REVISIONS
}

fn lossy(fleet: &mut Fleet, number: u64) {
    fleet.loss = 0.3;
    let times = publish(fleet, number);
    fleet.loss = 0.0;
    println!("  with 30% of messages and heartbeats lost: after {times} s");
}

/// Makes the platform fail for two minutes and come back with a new revision, and
/// prints its calls and the time until the revision is in force everywhere.
fn outage(fleet: &mut Fleet, number: u64) {
    fleet.run(Span::seconds(5));
    fleet.fail_platform(Some(Failure::Unreachable));
    let mut peak = 0;
    let mut total = 0;
    for _ in 0..120 {
        fleet.platform.calls = 0;
        fleet.run(Span::seconds(1));
        peak = peak.max(fleet.platform.calls);
        total += fleet.platform.calls;
    }
    fleet.publish(number + 1);
    fleet.fail_platform(None);
    let back = fleet.run_until(LIMIT, |fleet| fleet.all_at(number + 1));
    println!(
        "  platform down for 120 s: {:.1} calls/s, most {peak} in one second; back, all after {:.2} s",
        total as f64 / 120.0,
        seconds(back),
    );
}

fn publish(fleet: &mut Fleet, number: u64) -> String {
    let mut times = Vec::new();
    for next in number + 1..=number + REVISIONS {
        fleet.publish(next);
        let spread = fleet.run_until(LIMIT, |fleet| fleet.all_at(next));
        times.push(seconds(spread));
        fleet.run(Span::seconds(2));
    }
    times.sort_by(f64::total_cmp);
    format!("{:.2}/{:.2}/{:.2}", times[0], times[times.len() / 2], times[times.len() - 1])
}
