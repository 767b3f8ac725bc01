//! The random events must detect every fault that is injected around the gates.

mod support;

use std::panic::{AssertUnwindSafe, catch_unwind};

use support::events::{EventSource, RUNS, drive};
use support::simulation::Fault;

/// Returns the first run in which the simulation detected the fault.
fn first_run_detecting(fault: Fault) -> Option<u32> {
    let mut source = EventSource::new();
    for run in 0..RUNS {
        let events = source.next_run();
        if catch_unwind(AssertUnwindSafe(|| drive(fault, &events))).is_err() {
            return Some(run);
        }
    }
    None
}

fn assert_detected(fault: Fault) {
    let run = first_run_detecting(fault);
    assert!(run.is_some(), "{fault:?} went unnoticed");
    println!("{fault:?} noticed in run {}", run.unwrap_or_default());
}

#[test]
fn handover_without_requests_is_detected() {
    assert_detected(Fault::ForgetRequests);
}

#[test]
fn handover_without_running_is_detected() {
    assert_detected(Fault::ForgetRunning);
}

#[test]
fn hidden_retry_is_detected() {
    assert_detected(Fault::FirstAttempt);
}

#[test]
fn uncontested_split_is_detected() {
    assert_detected(Fault::Uncontested);
}

#[test]
fn false_report_is_detected() {
    assert_detected(Fault::FalseReport);
}

#[test]
fn double_start_is_detected() {
    assert_detected(Fault::StartTwice);
}
