//! Faults put around the gates on purpose: the random events must notice each.

mod support;

use std::panic::{AssertUnwindSafe, catch_unwind};

use support::events::{EventSource, RUNS, drive};
use support::simulation::Fault;

/// Number of the first run in which the world noticed the fault.
fn first_noticed(fault: Fault) -> Option<u32> {
    let mut source = EventSource::new();
    for run in 0..RUNS {
        let events = source.next_run();
        if catch_unwind(AssertUnwindSafe(|| drive(fault, &events))).is_err() {
            return Some(run);
        }
    }
    None
}

fn noticed(fault: Fault) {
    let run = first_noticed(fault);
    assert!(run.is_some(), "{fault:?} went unnoticed");
    println!("{fault:?} noticed in run {}", run.unwrap_or_default());
}

#[test]
fn forgotten_requests() {
    noticed(Fault::ForgetRequests);
}

#[test]
fn forgotten_running() {
    noticed(Fault::ForgetRunning);
}

#[test]
fn hidden_repeat() {
    noticed(Fault::FirstAttempt);
}

#[test]
fn uncontested_split() {
    noticed(Fault::Uncontested);
}

#[test]
fn false_report() {
    noticed(Fault::FalseReport);
}

#[test]
fn double_start() {
    noticed(Fault::StartTwice);
}
