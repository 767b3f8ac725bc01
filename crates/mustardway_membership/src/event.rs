//! What one instance is told.

use mustardway_types::instance;
use mustardway_types::revision;
use mustardway_types::time::Span;

use crate::message;
use crate::roster;

/// What one instance is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; given at least every 50 ms.
    Tick,
    /// The platform's instance list, whole.
    Roster(Vec<roster::Entry>),
    /// A message has arrived.
    Received {
        /// Who sent it, as the transport knows.
        from: instance::Id,
        /// What it says.
        message: message::Message,
    },
    /// The connection to a peer was lost.
    LinkDown(instance::Id),
    /// This instance begins to hand over.
    Leave,
    /// This instance takes work again after [`Event::Leave`].
    Return,
    /// This instance has handed over and stops.
    Left,
    /// The configuration in force here, told on to the neighbours.
    Revision {
        /// Its number.
        number: revision::Number,
        /// Its digest.
        digest: revision::Digest,
        /// Time since an instance last saw the platform confirm it; grows by
        /// itself until the next event.
        age: Span,
    },
}
