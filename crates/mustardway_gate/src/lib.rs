//! Everything that the owner of a target decides about it.
//!
//! One [`Gate`] stands before each target, at the target's owner. An ingress
//! asks it to admit a packet; the gate answers whether the packet runs, waits,
//! joins a running one, is refused, or belongs elsewhere. It holds the limits of
//! the target, its flows, the requests that may not be repeated, and the ramp
//! from cold to warm. It does no input or output: every call gets the time, and
//! what is to be done comes out as [`Admission`] and [`Step`]s.
//!
//! Modules:
//! - [`admit`]: what a gate is asked and how it answers.
//! - [`counter`]: counts of what a gate decided.
//! - [`bloom`]: approximate set of requests that have left the memory.
//! - [`finish`]: outcomes, cancellation, expiry and the steps they lead to.
//! - [`flow_table`]: open flows of the target.
//! - [`gate`]: the state of one target and its settings.
//! - [`job`]: requests that run or wait now.
//! - [`key`]: what makes two packets the same request.
//! - [`placement`]: flows that were refused here or placed on another target.
//! - [`dedup`]: requests that may not be repeated.
//! - [`message`]: what owners and ingresses tell each other about a target.
//! - [`query`]: what others may read of a gate.
//! - [`queue`]: requests that wait for a slot.
//! - [`slow_start`]: how much the target may be given now.
//! - `codec`: records of messages to and from what a gate keeps.
//! - [`seeded`]: the seeded hash of the tables.
//! - [`ownership`]: whether this gate is the one that decides.
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
