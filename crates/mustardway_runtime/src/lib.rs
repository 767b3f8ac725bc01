//! The runtime of one mustardway instance. It connects the sans-I/O decision crates to sockets,
//! timers and a clock.
//!
//! The worker threads of a tokio runtime serve packets concurrently and share the tables in
//! [`node`]. Locks are taken in this order: control report, gate map, a single gate, ticket table.
//! The locks of the flow cache, the forwarded requests, the relay and the snapshot are leaf locks:
//! no other lock is taken while one of them is held. No lock is held across an `await`.
//!
//! Modules:
//! - [`admin`]: the queries and commands of the administration interface.
//! - [`control`]: the control loop, which runs membership and configuration.
//! - [`forwarded`]: once-only requests known to have been sent to an owner.
//! - [`front`]: the gRPC service for callers.
//! - [`handover`]: opening, handing over and closing gates when ownership changes.
//! - [`ingress`]: routing a packet from its arrival to its answer.
//! - [`message`]: messages between instances about packets.
//! - [`meter`]: the metrics sent to StatsD.
//! - [`node`]: the shared tables.
//! - [`owner`]: admission of asks by gates, and running them at targets.
//! - [`peers`]: dispatch of frames received from other instances.
//! - [`probe`]: health checks of owned targets.
//! - [`promise_checks`]: outcomes recorded for each promise.
//! - [`relay`]: asks sent to other instances that wait for a reply.
//! - [`run`]: startup and planned stop.
//! - [`ticket_table`]: requests that wait for the decision of a gate.
//! - [`trail`]: audit trail entries for configuration revisions.
//! - [`upstream`]: calls to targets.

pub mod admin;
pub mod control;
pub mod forwarded;
pub mod front;
pub mod handover;
pub mod ingress;
pub mod message;
pub mod meter;
pub mod node;
pub mod owner;
pub mod peers;
pub mod probe;
pub mod promise_checks;
pub mod relay;
pub mod run;
pub mod ticket_table;
pub mod trail;
pub mod upstream;
