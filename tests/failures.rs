//! Failures of real processes: no request that may run once runs twice, no
//! answer "not run" is untrue, and no packet reaches another service.
//!
//! Each test brings up a user's whole deployment on loopback, causes one
//! failure under load and undoes it. What is checked does not depend on how
//! fast the machine is.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Mutex, PoisonError};

/// One deployment at a time, so that the machine bears it.
static TURN: Mutex<()> = Mutex::new(());

/// The stand-ins' program, which `cargo test --workspace` builds beside the
/// product's.
fn stand_in() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_mustardway")).with_file_name("mustardway_stand_in");
    assert!(path.exists(), "build the stand-ins first: cargo build --workspace");
    path
}

fn keeps_promises(user: &str, scenario: &str) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut command = Command::new(stand_in());
    command.args(["measure", "--user", user, "--scenario", scenario]);
    command.args(["--binary", env!("CARGO_BIN_EXE_mustardway")]);
    command.args(["--seeds", "1", "--seconds", "9", "--settle", "3s", "--rate", "20%"]);
    let output = command.output().unwrap();
    let said = String::from_utf8_lossy(&output.stdout);
    let complained = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{said}\n{complained}");
}

#[test]
fn instance_stops() {
    keeps_promises("partitura-viva", "instance-stop");
}

#[test]
fn instance_killed() {
    keeps_promises("frio-austral", "instance-kill");
}

#[test]
fn instance_paused() {
    keeps_promises("partitura-viva", "instance-pause");
}

#[test]
fn domain_taken_out() {
    keeps_promises("frio-austral", "domain-out");
}

#[test]
fn domain_out_and_kill() {
    keeps_promises("frio-austral", "domain-out-and-kill");
}

#[test]
fn domain_out_and_pause() {
    keeps_promises("frio-austral", "domain-out-and-pause");
}

#[test]
fn target_leaves() {
    keeps_promises("partitura-viva", "target-leaving");
}

#[test]
fn target_turns_cold() {
    keeps_promises("frio-austral", "target-cold");
}

#[test]
fn target_down() {
    keeps_promises("partitura-viva", "target-down");
}

#[test]
fn platform_down() {
    keeps_promises("frio-austral", "platform-down");
}
