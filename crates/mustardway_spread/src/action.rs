//! Output of the state machine.

use mustardway_types::instance;
use mustardway_types::revision;
use mustardway_types::time::Span;

use crate::message;
use crate::report;
use crate::set;

/// Output of the state machine.
#[derive(Debug, Clone)]
pub enum Action {
    /// Read the platform and answer with [`crate::event::Event::Platform`]. Only one
    /// read is open at a time.
    Read {
        /// The platform is to send its files only if its number is greater.
        after: revision::Number,
        /// Time for which the platform holds the read open until it has a greater number.
        /// Zero for an answer at once.
        wait: Span,
    },
    /// Send a message to a neighbour. The transport may lose it.
    Send {
        /// The receiver.
        to: instance::Id,
        /// The message.
        message: message::Message,
    },
    /// Check a revision and answer with [`crate::event::Event::Verdict`].
    Propose(set::Set),
    /// Report to operators.
    Report(report::Kind),
}
