//! Ids, quantities, answers and errors that every mustardway crate speaks in.
//!
//! Modules:
//! - [`address`]: service addresses that callers send to.
//! - [`answer`]: the closed list of answers and the table from reason to answer.
//! - [`clock`]: the clock of one instance.
//! - [`domain`], [`flow`], [`instance`], [`request`], [`service`], [`target`]: ids.
//! - [`hash`]: the one seeded hash that all instances share.
//! - [`packet`]: the routing header of a packet.
//! - [`parse`]: the error of every text form in this crate.
//! - [`revision`]: number and digest of a published configuration.
//! - [`size`], [`rate`], [`time`]: quantities with units in their text form.

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
