//! Checks that every property holds within the bounds on faults, and that each broken variant
//! violates the property that its missing rule protects.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use mustardway_model::check::{Run, Specification, Verdict, run};

/// A request that may not be repeated runs at most once.
const AT_MOST_ONCE: &str = "(runs<=1)";
/// A copy answered with "not run" did not run.
const NOT_RUN_IS_TRUE: &str = "!(ran)";
/// Only one owner admits at a time.
///
/// Two assertions, one for each other instance, begin with this text.
const SINGLE_OWNER: &str = "(ever_cut||";
/// The view of an instance never reverts until the instance restarts.
const NO_REVERT: &str = "(view[me]>=highest[me])";
/// A view that is in force everywhere does not revert when an instance restarts.
const NO_REVERT_IN_FORCE: &str = "(view[me]>=in_force)";
/// No packet goes to a failure domain that was taken out.
const NO_PACKET_TO_EVACUATED_DOMAIN: &str = "((in_force<2)||";
/// No packet reaches the former service of an address once one has reached the new service.
const NO_PACKET_TO_OLD_SERVICE: &str = "!(new_service)";

/// The configuration of an instance never goes back over a restore of the platform.
const CONFIGURATION_STAYS: &str = "(own_config[me]>=before)";
/// The latest configuration is in force once the operator has published it again.
const CONFIGURATION_ARRIVES: &str = "(own_config[me]==acked)";
/// The era of an instance never goes back.
const ERA_STAYS: &str = "(own_era[me]>=era_before)";

/// Runs the checker, prints the size of the search and returns the verdict.
fn check(
    name: &'static str,
    specification: Specification,
    definitions: &'static [&'static str],
) -> Verdict {
    let variant = Run { name, specification, definitions };
    let verdict = run(&variant, Path::new(env!("CARGO_TARGET_TMPDIR"))).unwrap();
    println!(
        "{name}: {} states, depth {}, {} errors {}",
        verdict.states,
        verdict.depth,
        verdict.errors,
        verdict.violated.as_deref().unwrap_or_default()
    );
    verdict
}

/// Checks that every property holds.
fn assert_holds(
    name: &'static str,
    specification: Specification,
    definitions: &'static [&'static str],
) {
    let verdict = check(name, specification, definitions);
    assert_eq!(verdict.errors, 0, "{:?}", verdict.violated);
}

/// Checks that the variant violates `property`.
fn assert_violates(
    name: &'static str,
    specification: Specification,
    definitions: &'static [&'static str],
    property: &str,
) {
    let verdict = check(name, specification, definitions);
    assert_eq!(verdict.errors, 1);
    assert!(verdict.violated.as_deref().unwrap().contains(property), "{:?}", verdict.violated);
}

use Specification::{Era, Ownership, View};

#[test]
fn properties_hold_with_a_crash() {
    assert_holds("crash", Ownership, &["CRASHES=1", "FREEZES=0", "HANDOVERS=0"]);
}

#[test]
fn properties_hold_with_a_pause() {
    assert_holds("pause", Ownership, &["CRASHES=0", "FREEZES=1", "HANDOVERS=0"]);
}

#[test]
fn properties_hold_with_a_cut() {
    assert_holds("cut", Ownership, &["CRASHES=0", "FREEZES=0", "HANDOVERS=0", "CUTS=1"]);
}

#[test]
fn properties_hold_with_two_cuts() {
    let definitions = &["CRASHES=0", "FREEZES=0", "HANDOVERS=0", "CUTS=2", "RETRIES=0"];
    assert_holds("two-cuts", Ownership, definitions);
}

#[test]
fn properties_hold_with_a_crash_and_a_cut() {
    let definitions = &["CRASHES=1", "FREEZES=0", "HANDOVERS=0", "CUTS=1", "RETRIES=0"];
    assert_holds("crash-and-cut", Ownership, definitions);
}

#[test]
fn properties_hold_with_a_pause_and_a_cut() {
    let definitions = &["CRASHES=0", "FREEZES=1", "HANDOVERS=0", "CUTS=1", "RETRIES=0"];
    assert_holds("pause-and-cut", Ownership, definitions);
}

#[test]
fn properties_hold_with_a_handover() {
    assert_holds("handover", Ownership, &["CRASHES=0", "FREEZES=0", "HANDOVERS=1"]);
}

#[test]
fn properties_hold_with_a_crash_and_a_pause() {
    let definitions = &["CRASHES=1", "FREEZES=1", "HANDOVERS=0", "RETRIES=0"];
    assert_holds("crash-and-pause", Ownership, definitions);
}

#[test]
fn properties_hold_with_a_handover_and_a_crash() {
    let definitions = &["CRASHES=1", "FREEZES=0", "HANDOVERS=1", "RETRIES=0"];
    assert_holds("handover-and-crash", Ownership, definitions);
}

#[test]
fn properties_hold_with_a_handover_and_a_pause() {
    let definitions = &["CRASHES=0", "FREEZES=1", "HANDOVERS=1", "RETRIES=0"];
    assert_holds("handover-and-pause", Ownership, definitions);
}

// Guards against a model in which no request can run after a takeover: the properties would hold
// there without being exercised. `REACH_SUCCESSOR` asserts that only the first owner runs a
// request, and the checker has to find an execution that violates the assertion.
#[test]
fn request_can_run_after_a_takeover() {
    let definitions = &["CRASHES=1", "FREEZES=0", "HANDOVERS=0", "RETRIES=0", "REACH_SUCCESSOR"];
    assert_violates("successor-runs", Ownership, definitions, "(at==0)");
}

#[test]
fn missing_witness_runs_a_request_twice() {
    let definitions = &["CRASHES=1", "FREEZES=0", "HANDOVERS=0", "RETRIES=0", "BROKEN_NO_WITNESS"];
    assert_violates("no-witness", Ownership, definitions, AT_MOST_ONCE);
}

#[test]
fn missing_announcement_runs_a_request_twice() {
    let definitions = &["CRASHES=1", "FREEZES=0", "HANDOVERS=0", "RETRIES=0", "BROKEN_NO_ANNOUNCE"];
    assert_violates("no-announcement", Ownership, definitions, AT_MOST_ONCE);
}

#[test]
fn admission_with_partial_memory_runs_a_request_twice() {
    let definitions = &["CRASHES=1", "FREEZES=1", "HANDOVERS=0", "RETRIES=0", "BROKEN_PARTIAL"];
    assert_violates("partial-memory", Ownership, definitions, AT_MOST_ONCE);
}

#[test]
fn handover_without_table_runs_a_request_twice() {
    let definitions = &["CRASHES=0", "FREEZES=0", "HANDOVERS=1", "BROKEN_NO_TABLE"];
    assert_violates("no-table", Ownership, definitions, AT_MOST_ONCE);
}

#[test]
fn missing_fence_after_a_pause_admits_two_owners() {
    let definitions = &["CRASHES=0", "FREEZES=1", "HANDOVERS=0", "RETRIES=0", "BROKEN_NO_FENCE"];
    assert_violates("no-fence", Ownership, definitions, SINGLE_OWNER);
}

#[test]
fn frame_from_before_a_pause_admits_two_owners() {
    let definitions = &["CRASHES=0", "FREEZES=1", "HANDOVERS=0", "RETRIES=0", "BROKEN_OLD_FRAME"];
    assert_violates("old-frame", Ownership, definitions, SINGLE_OWNER);
}

#[test]
fn agreement_while_hearing_the_owner_admits_two_owners() {
    let definitions = &["CRASHES=0", "FREEZES=1", "HANDOVERS=0", "RETRIES=0", "BROKEN_HASTY"];
    assert_violates("hasty-agreement", Ownership, definitions, SINGLE_OWNER);
}

#[test]
fn unnumbered_ownership_admits_two_owners() {
    let definitions = &["CRASHES=0", "FREEZES=1", "HANDOVERS=0", "RETRIES=0", "BROKEN_NO_NUMBER"];
    assert_violates("no-number", Ownership, definitions, SINGLE_OWNER);
}

#[test]
fn not_run_for_an_unknown_outcome_is_untrue() {
    let definitions = &["CRASHES=1", "FREEZES=0", "HANDOVERS=0", "RETRIES=0", "BROKEN_NOT_RUN"];
    assert_violates("false-not-run", Ownership, definitions, NOT_RUN_IS_TRUE);
}

#[test]
fn view_properties_hold() {
    assert_holds("view", View, &["RESTARTS=2", "PAUSES=2"]);
}

#[test]
fn adopting_any_revision_reverts_the_view() {
    assert_violates("any-revision", View, &["BROKEN_ANY_REVISION"], NO_REVERT);
}

#[test]
fn joining_without_a_peer_reverts_a_view_in_force() {
    assert_violates("hasty-join", View, &["BROKEN_JOIN"], NO_REVERT_IN_FORCE);
}

#[test]
fn missing_fence_sends_packets_to_an_evacuated_domain() {
    assert_violates("no-view-fence", View, &["BROKEN_NO_FENCE"], NO_PACKET_TO_EVACUATED_DOMAIN);
}

#[test]
fn missing_quarantine_sends_packets_to_the_old_service() {
    assert_violates("no-quarantine", View, &["BROKEN_NO_QUARANTINE"], NO_PACKET_TO_OLD_SERVICE);
}

#[test]
fn restored_platform_reverts_nothing() {
    assert_holds("era_restart", Era, &["RESTORES=1", "RESTARTS=1"]);
}

#[test]
fn platform_restored_twice_reverts_nothing() {
    assert_holds("era_twice", Era, &["RESTORES=2", "RESTARTS=0"]);
}

/// Without eras, an instance ignores numbers that are given out again.
#[test]
fn numbers_without_eras_miss_configurations() {
    assert_violates("era_number_only", Era, &["BROKEN_NUMBER_ONLY"], CONFIGURATION_ARRIVES);
}

/// A late answer of an earlier era takes the instance back.
#[test]
fn answer_of_any_era_reverts_the_era() {
    assert_violates("era_any", Era, &["BROKEN_ANY_ERA"], ERA_STAYS);
}

/// The configuration of the copy replaces a later one.
#[test]
fn configuration_of_the_copy_reverts_a_later_one() {
    assert_violates("era_configuration", Era, &["BROKEN_ANY_CONFIGURATION"], CONFIGURATION_STAYS);
}
