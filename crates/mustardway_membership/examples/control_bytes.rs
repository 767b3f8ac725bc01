//! Measures the cost of membership per node and the time until a crash is known to
//! all nodes.
//!
//! Nodes run over links with 0.3 to 0.7 ms delay and no loss, in 6 failure domains
//! (3 at 9 instances). Bytes are the encoded message plus an estimate of 4 bytes of
//! frame length and 52 bytes of IP and TCP headers for each message; a transport
//! that batches messages sends fewer headers. CPU time is the wall time of the
//! whole loop including the delivery of messages, so it is an upper bound. Fleets
//! start warm, with the entries of all nodes at every node, except for the cold
//! start. Arguments: fleet sizes, by default 9 90 900 2000.

#![allow(unsafe_code)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use common::{Fleet, member};
use mustardway_membership::node::Node;
use mustardway_membership::settings::Settings;
use mustardway_types::time::Span;

/// Allocator that counts the allocated bytes.
struct Counting;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed on to the system allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Largest fleet that is started cold; larger ones take too much wall time.
const COLD_MAX: usize = 900;
/// Simulated time over which the fleet is measured without failures.
const QUIET: Span = Span::seconds(10);
/// Number of crashes that are timed, each in a new fleet with its own seed up to
/// `FRESH_FLEET_MAX`.
const CRASHES: u64 = 7;
/// Largest fleet that is started again for each crash.
const FRESH_FLEET_MAX: usize = 90;

fn main() {
    let mut sizes: Vec<usize> = std::env::args().skip(1).flat_map(|size| size.parse()).collect();
    if sizes.is_empty() {
        sizes = vec![9, 90, 900, 2_000];
    }
    for size in sizes {
        measure(size);
    }
}

fn domains(size: usize) -> usize {
    if size <= 9 { 3 } else { 6 }
}

/// Starts a fleet whose nodes know each other.
fn warm(size: usize, seed: u64) -> Fleet {
    Fleet::warm(size, domains(size), seed)
}

/// Starts all nodes at once with only the platform's list, and prints the time
/// until they agree.
fn cold_start(size: usize) {
    let began = Instant::now();
    let mut fleet = Fleet::started(size, domains(size), 1);
    let agreed = phase(&mut fleet, Fleet::agrees);
    let wall = began.elapsed().as_secs_f64();
    println!("  cold start of all {size} at once: {agreed}, {wall:.1} s of wall time");
}

fn measure(size: usize) {
    let mut fleet = warm(size, 1);
    for host in &mut fleet.hosts {
        host.sent = 0;
        host.bytes = 0;
    }
    let began = Instant::now();
    fleet.run(QUIET);
    let wall = began.elapsed().as_secs_f64();
    let seconds = QUIET.as_seconds();
    let sent: Vec<u64> = fleet.hosts.iter().map(|host| host.sent).collect();
    let bytes: Vec<u64> = fleet.hosts.iter().map(|host| host.bytes).collect();
    let cpu = wall / seconds / size as f64 * 1e6;
    let memory = memory(&mut fleet, size);
    println!(
        "{size} instances, quiet: {:.1} messages/s a node (most {:.1}), {:.0} B/s (most {:.0}), {:.0} KiB, {cpu:.0} us/s",
        mean(&sent) / seconds,
        most(&sent) / seconds,
        mean(&bytes) / seconds,
        most(&bytes) / seconds,
        memory as f64 / 1024.0,
    );
    let mut found = crashes(fleet, size);
    found.sort_unstable();
    println!(
        "  crash known to all after {}/{}/{} ms (min/median/max of {CRASHES})",
        found[0],
        found[found.len() / 2],
        found[found.len() - 1],
    );
    cut_and_heal(size);
    if size <= COLD_MAX {
        cold_start(size);
    }
}

/// Cuts one failure domain off, heals the cut 20 s after both sides agree, and
/// prints the times.
fn cut_and_heal(size: usize) {
    let mut fleet = warm(size, 2);
    for (index, side) in fleet.sides.iter_mut().enumerate() {
        *side = u8::from(index % domains(size) == 0);
    }
    let outside = phase(&mut fleet, |fleet| side_agrees(fleet, 0));
    let inside = phase(&mut fleet, |fleet| side_agrees(fleet, 1));
    fleet.run(Span::seconds(20));
    fleet.sides.fill(0);
    let healed = phase(&mut fleet, Fleet::agrees);
    println!(
        "  domain of {size} cut: outside {outside}; inside after that {inside}; healed {healed}"
    );
}

/// Runs until `done` holds, and returns a text with the time and the greatest rate
/// at which one node sent.
fn phase(fleet: &mut Fleet, done: impl Fn(&Fleet) -> bool) -> String {
    let before: Vec<u64> = fleet.hosts.iter().map(|host| host.bytes).collect();
    let Some(span) = fleet.run_until(Span::seconds(120), done) else {
        return String::from("not within 120 s");
    };
    let mut most = 0;
    for (host, before) in fleet.hosts.iter().zip(before) {
        most = most.max(host.bytes - before);
    }
    let rate = most as f64 / span.as_seconds() / 1e3;
    format!("{:.2} s, most sent {rate:.1} KB/s", span.as_seconds())
}

/// Returns whether the live lists on one side hold as many instances as the side.
fn side_agrees(fleet: &Fleet, side: u8) -> bool {
    let peers = fleet.sides.iter().filter(|other| **other == side).count();
    for (index, host) in fleet.hosts.iter().enumerate() {
        if fleet.sides[index] == side && host.node.live().count() != peers {
            return false;
        }
    }
    true
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len() as f64
}

fn most(values: &[u64]) -> f64 {
    values.iter().copied().max().unwrap_or(0) as f64
}

/// Replaces one node, and returns the bytes that it had allocated plus the size of
/// its struct.
fn memory(fleet: &mut Fleet, size: usize) -> usize {
    let fresh = Node::new(Settings::new(member(0, domains(size), 1), 1), fleet.now);
    let old = std::mem::replace(&mut fleet.hosts[0].node, fresh);
    let before = ALLOCATED.load(Ordering::Relaxed);
    drop(old);
    let freed = before - ALLOCATED.load(Ordering::Relaxed);
    fleet.stop(0);
    fleet.run(Span::seconds(5));
    freed + size_of::<Node>()
}

/// Stops one instance after another, and returns the milliseconds until all others
/// have each off their live lists.
fn crashes(mut fleet: Fleet, size: usize) -> Vec<u64> {
    let mut found = Vec::new();
    for crash in 1..=CRASHES {
        if size <= FRESH_FLEET_MAX {
            fleet = warm(size, 100 + crash);
        }
        let index = (crash as usize * 37) % size;
        fleet.stop(index);
        let span = fleet.run_until(Span::seconds(30), |fleet| fleet.all_see_dead(index));
        found.push(span.map_or(u64::MAX, Span::as_millis));
        assert!(size > FRESH_FLEET_MAX || fleet.agrees());
        fleet.run(Span::seconds(2));
    }
    found
}
