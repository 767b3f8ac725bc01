//! One instance of mustardway: the decision crates joined to sockets and a clock.
//!
//! A pool of workers serves packets over shared tables. Lock order: control,
//! gate map, one gate, then the tickets; the flow cache, the forwarded requests,
//! the relay and the snapshot are held for no other lock. No lock is held over
//! an await.
//!
//! Modules:
//! - [`admin`]: what operators are told and may order.
//! - [`control`]: membership, configuration and what follows from their changes.
//! - [`handover`]: gates that are opened, handed over and closed.
//! - [`forwarded`]: requests known to have been sent to an owner.
//! - [`front`]: packets of callers.
//! - [`ingress`]: a packet from its arrival to its answer.
//! - [`message`]: messages of the packet path.
//! - [`meter`]: the metrics.
//! - [`node`]: the shared tables.
//! - [`owner`]: asks of ingresses, judged by gates and sent to targets.
//! - [`peers`]: frames that come in from other instances.
//! - [`probe`]: health checks of owned targets.
//! - [`relay`]: asks on their way to other instances.
//! - [`run`]: the start and the planned stop.
//! - [`ticket_table`]: who waits for what a gate decides.
//! - [`trail`]: what the audit trail is told.
//! - [`upstream`]: calls to targets.
//! - [`promise_checks`]: promises, judged case by case.

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
