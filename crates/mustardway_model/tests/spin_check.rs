//! Every property holds within its bounds, and fails on each broken variant.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use mustardway_model::check::{Run, Specification, Verdict, run};

/// At most once.
const ONCE: &str = "(runs<=1)";
/// "Not run" is true.
const NOT_RUN: &str = "!(ran)";
/// One owner admits at a time.
const ONE_OWNER: &str = "(ever_cut||";
/// A view never reverts within a life.
const REVERTS: &str = "(view[me]>=highest[me])";
/// A view that is in force never reverts.
const IN_FORCE: &str = "(view[me]>=in_force)";
/// No packet to a failure domain that was taken out.
const DOMAIN: &str = "((in_force<2)||";
/// No packet to another service.
const SERVICE: &str = "!(new_service)";

fn checked(
    name: &'static str,
    specification: Specification,
    definitions: &'static [&'static str],
) -> Verdict {
    let wanted = Run { name, specification, definitions };
    let verdict = run(&wanted, Path::new(env!("CARGO_TARGET_TMPDIR"))).unwrap();
    println!(
        "{name}: {} states, depth {}, {} errors {}",
        verdict.states,
        verdict.depth,
        verdict.errors,
        verdict.violated.as_deref().unwrap_or_default()
    );
    verdict
}

fn holds(name: &'static str, specification: Specification, definitions: &'static [&'static str]) {
    let verdict = checked(name, specification, definitions);
    assert_eq!(verdict.errors, 0, "{:?}", verdict.violated);
}

fn fails(
    name: &'static str,
    specification: Specification,
    definitions: &'static [&'static str],
    property: &str,
) {
    let verdict = checked(name, specification, definitions);
    assert_eq!(verdict.errors, 1);
    assert!(verdict.violated.as_deref().unwrap().contains(property), "{:?}", verdict.violated);
}

use Specification::{Ownership, View};

#[test]
fn crash() {
    holds("crash", Ownership, &["CRASHES=1", "FREEZES=0", "HANDOVERS=0"]);
}

#[test]
fn pause() {
    holds("pause", Ownership, &["CRASHES=0", "FREEZES=1", "HANDOVERS=0"]);
}

#[test]
fn cut() {
    holds("cut", Ownership, &["CRASHES=0", "FREEZES=0", "HANDOVERS=0", "CUTS=1"]);
}

#[test]
fn two_cuts() {
    let definitions = &["CRASHES=0", "FREEZES=0", "HANDOVERS=0", "CUTS=2", "RETRIES=0"];
    holds("two-cuts", Ownership, definitions);
}

#[test]
fn crash_and_cut() {
    let definitions = &["CRASHES=1", "FREEZES=0", "HANDOVERS=0", "CUTS=1", "RETRIES=0"];
    holds("crash-and-cut", Ownership, definitions);
}

#[test]
fn pause_and_cut() {
    let definitions = &["CRASHES=0", "FREEZES=1", "HANDOVERS=0", "CUTS=1", "RETRIES=0"];
    holds("pause-and-cut", Ownership, definitions);
}

#[test]
fn handover() {
    holds("handover", Ownership, &["CRASHES=0", "FREEZES=0", "HANDOVERS=1"]);
}

#[test]
fn crash_and_pause() {
    let definitions = &["CRASHES=1", "FREEZES=1", "HANDOVERS=0", "RETRIES=0"];
    holds("crash-and-pause", Ownership, definitions);
}

#[test]
fn handover_and_crash() {
    let definitions = &["CRASHES=1", "FREEZES=0", "HANDOVERS=1", "RETRIES=0"];
    holds("handover-and-crash", Ownership, definitions);
}

#[test]
fn handover_and_pause() {
    let definitions = &["CRASHES=0", "FREEZES=1", "HANDOVERS=1", "RETRIES=0"];
    holds("handover-and-pause", Ownership, definitions);
}

#[test]
fn successor_runs() {
    let definitions = &["CRASHES=1", "FREEZES=0", "HANDOVERS=0", "RETRIES=0", "REACH_SUCCESSOR"];
    fails("successor-runs", Ownership, definitions, "(at==0)");
}

#[test]
fn no_witness() {
    let definitions = &["CRASHES=1", "FREEZES=0", "HANDOVERS=0", "RETRIES=0", "BROKEN_NO_WITNESS"];
    fails("no-witness", Ownership, definitions, ONCE);
}

#[test]
fn no_announcement() {
    let definitions = &["CRASHES=1", "FREEZES=0", "HANDOVERS=0", "RETRIES=0", "BROKEN_NO_ANNOUNCE"];
    fails("no-announcement", Ownership, definitions, ONCE);
}

#[test]
fn partial_memory() {
    let definitions = &["CRASHES=1", "FREEZES=1", "HANDOVERS=0", "RETRIES=0", "BROKEN_PARTIAL"];
    fails("partial-memory", Ownership, definitions, ONCE);
}

#[test]
fn no_table() {
    let definitions = &["CRASHES=0", "FREEZES=0", "HANDOVERS=1", "BROKEN_NO_TABLE"];
    fails("no-table", Ownership, definitions, ONCE);
}

#[test]
fn no_fence() {
    let definitions = &["CRASHES=0", "FREEZES=1", "HANDOVERS=0", "RETRIES=0", "BROKEN_NO_FENCE"];
    fails("no-fence", Ownership, definitions, ONE_OWNER);
}

#[test]
fn old_frame() {
    let definitions = &["CRASHES=0", "FREEZES=1", "HANDOVERS=0", "RETRIES=0", "BROKEN_OLD_FRAME"];
    fails("old-frame", Ownership, definitions, ONE_OWNER);
}

#[test]
fn hasty_agreement() {
    let definitions = &["CRASHES=0", "FREEZES=1", "HANDOVERS=0", "RETRIES=0", "BROKEN_HASTY"];
    fails("hasty-agreement", Ownership, definitions, ONE_OWNER);
}

#[test]
fn no_number() {
    let definitions = &["CRASHES=0", "FREEZES=1", "HANDOVERS=0", "RETRIES=0", "BROKEN_NO_NUMBER"];
    fails("no-number", Ownership, definitions, ONE_OWNER);
}

#[test]
fn false_not_run() {
    let definitions = &["CRASHES=1", "FREEZES=0", "HANDOVERS=0", "RETRIES=0", "BROKEN_NOT_RUN"];
    fails("false-not-run", Ownership, definitions, NOT_RUN);
}

#[test]
fn view() {
    holds("view", View, &["RESTARTS=2", "PAUSES=2"]);
}

#[test]
fn any_revision() {
    fails("any-revision", View, &["BROKEN_ANY_REVISION"], REVERTS);
}

#[test]
fn hasty_join() {
    fails("hasty-join", View, &["BROKEN_JOIN"], IN_FORCE);
}

#[test]
fn no_view_fence() {
    fails("no-view-fence", View, &["BROKEN_NO_FENCE"], DOMAIN);
}

#[test]
fn no_quarantine() {
    fails("no-quarantine", View, &["BROKEN_NO_QUARANTINE"], SERVICE);
}
