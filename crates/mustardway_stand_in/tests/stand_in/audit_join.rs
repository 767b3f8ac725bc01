//! The audit joins the runs of all targets with the answers that callers received.

use mustardway_stand_in::caller::request::NotRun;
use mustardway_stand_in::deployment::audit::Audit;
use mustardway_stand_in::payload::Key;
use mustardway_stand_in::target::ledger::Run;

fn run(request: u64, attempt: u32, once: bool) -> Run {
    Run { flow: 1, request, part: 0, attempt, once, start_millis: 0, end_millis: None }
}

fn not_run(request: u64, attempt: u32) -> NotRun {
    NotRun { key: Key { flow: 1, request, part: 0 }, attempt }
}

#[test]
fn repeated_idempotent_request_and_true_not_run_pass() {
    let runs = [run(1, 2, true), run(2, 1, false), run(2, 2, false)];
    assert_eq!(Audit::new(&runs, &[not_run(1, 1)]), Audit::default());
}

#[test]
fn second_run_of_non_repeatable_request_is_counted() {
    let runs = [run(1, 1, true), run(1, 2, true)];
    assert_eq!(Audit::new(&runs, &[]), Audit { doubles: 1, false_not_run: 0 });
}

#[test]
fn not_run_answer_for_attempt_that_ran_is_counted() {
    let runs = [run(1, 1, true)];
    assert_eq!(Audit::new(&runs, &[not_run(1, 1)]), Audit { doubles: 0, false_not_run: 1 });
}
