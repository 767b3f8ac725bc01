//! Output of the state machine.

use mustardway_types::instance;
use mustardway_types::revision;

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
        /// Whether to use a long poll, which the platform holds open until it has a
        /// greater number.
        wait: bool,
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
