//! Stand-ins for what surrounds mustardway: the platform, targets, the fabric
//! and callers. None of it is part of the product; tests, examples and
//! measurements use it.
//!
//! Modules:
//! - [`platform`]: publishes configuration files and the list of instances.
//! - [`target`]: answers packets, bears a bounded load and keeps a ledger.
//! - [`fabric`]: sprays packets over the instances.
//! - [`caller`]: opens flows, sends requests and checks their answers.
//! - [`deployment`]: a user's whole deployment on loopback.
//! - [`experiment`]: measures over deployments, with changes and faults.
//! - [`baseline`]: plain hashing, to measure against.
//! - [`payload`]: the bytes that callers send and expect.
//! - [`listener`]: a TCP listener that can be closed and opened again.
//! - [`http`]: a small JSON client.
//! - [`deadline`]: the `grpc-timeout` of a call.
//! - [`clock`]: wall-clock times of ledgers.
//! - [`command`]: the command line.

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
