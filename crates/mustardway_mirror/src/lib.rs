//! Replication of the state that the platform publishes, with few calls to the
//! platform.
//!
//! One instance of the fleet, the reader, reads changes at a steady interval and
//! pushes them to its own failure domain and to one relay in each other failure
//! domain. Every other instance reads the platform itself only when its replica
//! is older than a staleness limit that grows with its rank. A reader that
//! crashes, hangs or is partitioned away is therefore replaced without leader
//! election. Reads are not exclusive: two readers at a time only cost extra calls.
//!
//! The crate does no I/O: events with a given time go in, actions come out. It
//! limits the load on the platform, in calls per second, for any number of
//! instances.
//!
//! Modules:
//! - [`publication`]: the published items and changes.
//! - [`replica`]: the latest published state and the changes that led to it.
//! - [`restoration`]: what is believed after the platform was restored from a copy.
//! - [`departed`]: targets whose registrations were recently removed.
//! - [`message`]: messages between instances.
//! - [`topology`]: ranks, push peers and staleness limits.
//! - [`usage`]: what became of changes that a peer sent.
//! - [`node`]: the state machine of one instance.

pub mod departed;
pub mod message;
pub mod node;
pub mod publication;
pub mod replica;
pub mod restoration;
pub mod topology;
pub mod usage;
