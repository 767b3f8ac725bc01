//! Input of the state machine.

use mustardway_types::instance;
use mustardway_types::revision;
use mustardway_types::time::Span;

use crate::message;
use crate::roster;

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed. The caller sends this at least every 50 ms.
    Tick,
    /// The platform's complete instance list.
    Roster(Vec<roster::Entry>),
    /// A message has arrived.
    Received {
        /// The sender, as identified by the transport.
        from: instance::Id,
        /// The message.
        message: message::Message,
    },
    /// The connection to a peer was lost.
    LinkDown(instance::Id),
    /// This instance starts to hand over its targets.
    Leave,
    /// This instance serves again after [`Event::Leave`].
    Return,
    /// This instance has handed over and is about to stop.
    Left,
    /// The configuration in force on this instance, which heartbeats announce to
    /// the neighbours.
    Revision {
        /// Number of the configuration.
        number: revision::Number,
        /// Digest of the configuration.
        digest: revision::Digest,
        /// Time since the platform last confirmed the configuration to any
        /// instance. The node adds the time that passes until the next event.
        age: Span,
    },
}
