//! Test doubles for the environment of mustardway: the platform, targets, the
//! network fabric and callers. They are not part of the product; tests, examples
//! and measurements use them.
//!
//! Modules:
//! - [`platform`]: publishes configuration files and the instance list.
//! - [`target`]: answers packets with bounded capacity and records every run in a ledger.
//! - [`fabric`]: distributes packets over the instances at random.
//! - [`caller`]: opens flows, sends requests and checks the answers.
//! - [`deployment`]: runs a user's whole deployment on loopback.
//! - [`experiment`]: measures deployments under changes and injected faults.
//! - [`baseline`]: stateless hashing load balancer to compare measurements with.
//! - [`payload`]: encodes request payloads and generates the expected answers.
//! - [`listener`]: TCP listener that can be closed and reopened.
//! - [`http`]: JSON client.
//! - [`deadline`]: reads and writes the `grpc-timeout` of a call.
//! - [`clock`]: wall-clock timestamps of ledgers.
//! - [`command`]: command line of the stand-ins.

pub mod baseline;
pub mod caller;
pub mod clock;
pub mod command;
pub mod deadline;
pub mod deployment;
pub mod experiment;
pub mod fabric;
pub mod http;
pub mod listener;
pub mod payload;
pub mod platform;
pub mod target;
