//! Failure injection with real processes: a request that may run at most once never
//! runs twice, an answer "not run" is always true, and no packet reaches another
//! service.
//!
//! Each test starts a user's whole deployment on loopback, injects one failure under
//! load and reverts it. The checks do not depend on the speed of the machine.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Mutex, PoisonError};

/// Runs one deployment at a time, so that the tests do not overload the machine.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::new(());

/// Returns the path of the stand-ins' binary, which `cargo test --workspace` builds next
/// to the product's binary.
fn stand_in_path() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_mustardway")).with_file_name("mustardway_stand_in");
    assert!(path.exists(), "build the stand-ins first: cargo build --workspace");
    path
}

/// Runs one scenario and checks that no promise is broken.
fn assert_keeps_promises(user: &str, scenario: &str) {
    let _lock = DEPLOYMENT_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut command = Command::new(stand_in_path());
    command.args(["measure", "--user", user, "--scenario", scenario]);
    command.args(["--binary", env!("CARGO_BIN_EXE_mustardway")]);
    command.args(["--seeds", "1", "--seconds", "9", "--settle", "3s", "--rate", "20%"]);
    let output = command.output().unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stdout}\n{stderr}");
}

#[test]
fn promises_hold_when_an_instance_stops() {
    assert_keeps_promises("partitura-viva", "instance-stop");
}

#[test]
fn promises_hold_when_an_instance_is_killed() {
    assert_keeps_promises("frio-austral", "instance-kill");
}

#[test]
fn promises_hold_when_an_instance_is_paused() {
    assert_keeps_promises("partitura-viva", "instance-pause");
}

#[test]
fn promises_hold_when_a_domain_is_taken_out() {
    assert_keeps_promises("frio-austral", "domain-out");
}

#[test]
fn promises_hold_when_a_domain_is_taken_out_and_an_instance_killed() {
    assert_keeps_promises("frio-austral", "domain-out-and-kill");
}

#[test]
fn promises_hold_when_a_domain_is_taken_out_and_an_instance_paused() {
    assert_keeps_promises("frio-austral", "domain-out-and-pause");
}

#[test]
fn promises_hold_when_a_target_leaves() {
    assert_keeps_promises("partitura-viva", "target-leaving");
}

#[test]
fn promises_hold_when_a_target_turns_cold() {
    assert_keeps_promises("frio-austral", "target-cold");
}

#[test]
fn promises_hold_when_a_target_is_down() {
    assert_keeps_promises("partitura-viva", "target-down");
}

#[test]
fn promises_hold_when_the_platform_is_down() {
    assert_keeps_promises("frio-austral", "platform-down");
}
