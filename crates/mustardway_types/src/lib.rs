//! Ids, quantities, answers and errors that all mustardway crates share.
//!
//! Modules:
//! - [`address`]: service addresses that callers send to.
//! - [`answer`]: the complete list of answers and the table from reason to answer.
//! - [`clock`]: the monotonic clock of an instance.
//! - [`domain`], [`flow`], [`instance`], [`request`], [`service`], [`target`]: ids.
//! - [`hash`]: the seeded hash functions that all instances share.
//! - [`packet`]: the routing header of a packet.
//! - [`parse`]: the parse error of all text forms in this crate.
//! - [`revision`]: number and digest of a published configuration.
//! - [`size`], [`rate`], [`time`]: quantities whose text form has a unit.

pub mod address;
pub mod answer;
pub mod clock;
pub mod domain;
pub mod flow;
pub mod hash;
mod hex_id;
pub mod instance;
mod name;
pub mod packet;
pub mod parse;
pub mod rate;
pub mod request;
pub mod revision;
pub mod service;
pub mod size;
pub mod target;
pub mod time;
