//! What one instance wants done.

use mustardway_types::instance;
use mustardway_types::revision;

use crate::message;
use crate::report;
use crate::set;

/// What one instance wants done.
#[derive(Debug, Clone)]
pub enum Action {
    /// Read the platform; one read at a time, answered by
    /// [`crate::event::Event::Platform`].
    Read {
        /// The files are wanted where the platform's number is greater.
        after: revision::Number,
        /// Hold the call open until there is something newer.
        wait: bool,
    },
    /// Send a message to a neighbour; it may be lost.
    Send {
        /// Receiver.
        to: instance::Id,
        /// What to say.
        message: message::Message,
    },
    /// Check a revision and answer with [`crate::event::Event::Verdict`].
    Propose(set::Set),
    /// Tell operators.
    Report(report::Kind),
}
