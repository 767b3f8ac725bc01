//! Admission control for the targets that an instance owns.
//!
//! The owner of a target holds one [`Gate`] for it. An ingress asks the gate to
//! admit a packet, and the gate decides whether the packet runs, waits, joins a
//! running duplicate, is refused, or belongs to another target or instance. The
//! gate holds the limits of the target, its open flows, the deduplication of
//! requests that must run at most once, and the slow start of a cold target. It
//! does no input or output: every call receives the current time, and the
//! resulting actions are returned as an [`Admission`] and as [`Step`]s.
//!
//! Modules:
//! - [`admit`]: admission requests and decisions.
//! - [`bloom`]: Bloom filter for requests that the deduplication cache has
//!   dropped.
//! - `codec`: conversion between the records of messages and the state of a
//!   gate.
//! - [`counter`]: counters of the decisions of a gate.
//! - [`dedup`]: deduplication of requests that must run at most once.
//! - [`finish`]: outcomes, cancellation, expiry and the steps that follow.
//! - [`flow_table`]: flows that are open on the target.
//! - [`gate`]: state and settings of one target.
//! - [`job`]: requests that run or wait.
//! - [`key`]: identity of a request.
//! - [`message`]: messages between owners and ingresses about a target.
//! - [`ownership`]: whether this gate decides for its target.
//! - [`placement`]: flows that were refused here or placed on another target.
//! - [`query`]: read access to the state of a gate.
//! - [`queue`]: requests that wait for a slot.
//! - [`seeded`]: seeded hasher of the tables.
//! - [`slow_start`]: concurrency limit of a target as it warms up.
//! - [`ticket`]: ids of admissions.
//! - [`transfer`]: planned and unplanned change of the owner.

pub mod admit;
pub mod bloom;
mod codec;
pub mod counter;
pub mod dedup;
pub mod finish;
pub mod flow_table;
pub mod gate;
pub mod job;
pub mod key;
pub mod message;
pub mod ownership;
pub mod placement;
pub mod query;
pub mod queue;
pub mod seeded;
pub mod slow_start;
pub mod ticket;
pub mod transfer;

pub use admit::{Admission, Ask, Candidate, Mode, Refusal};
pub use finish::{Ending, Observation, Outcome, Step};
pub use gate::Gate;
pub use key::Key;
pub use message::{Announcement, Handover};
pub use ownership::Ownership;
