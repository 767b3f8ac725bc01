//! Messages between instances about the published state.
//!
//! Each change is a separate `postcard` value inside a message, so that an item
//! in an unknown format is skipped alone.

use mustardway_types::revision::{Era, Number, Version};
use mustardway_types::time::{Instant, Span};

use crate::publication::{Departure, Update};

/// One message between instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Content of the message. It is `None` if the sender is newer than the
    /// receiver and the receiver does not know the variant.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    pub body: Option<Body>,
}

/// Content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Changes of the published state.
    #[prost(message, tag = "1")]
    Push(Push),
    /// Request for the changes that are newer than the sender's replica.
    #[prost(message, tag = "2")]
    Pull(Pull),
    /// Request of an instance that has just started for recently departed targets.
    #[prost(message, tag = "3")]
    DepartedRequest(DepartedRequest),
    /// Recently departed targets.
    #[prost(message, tag = "4")]
    Departed(Departed),
}

/// Request of an instance that has just started for the targets that departed
/// before.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DepartedRequest {}

/// Recently departed targets, in answer to a [`DepartedRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Departed {
    /// Milliseconds since the sender first knew the published state.
    #[prost(uint64, tag = "1")]
    pub known_millis: u64,
    /// Registrations of the targets, each encoded separately.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub registrations: Vec<Vec<u8>>,
    /// Milliseconds since each registration was removed.
    #[prost(uint64, repeated, tag = "3")]
    pub age_millis: Vec<u64>,
}

impl Departed {
    /// Creates a message with `departures`. `known` is the time since the sender
    /// first knew the published state.
    pub fn new(known: Span, departures: &[Departure]) -> Self {
        let mut message = Departed { known_millis: known.as_millis(), ..Departed::default() };
        for departure in departures {
            // Encoding cannot fail for these plain data types.
            let Ok(bytes) = postcard::to_allocvec(&departure.registration) else { continue };
            message.registrations.push(bytes);
            message.age_millis.push(departure.age.as_millis());
        }
        message
    }

    /// Returns the departures and the number of entries that could not be decoded.
    pub fn decode(&self) -> (Vec<Departure>, usize) {
        let mut departures = Vec::new();
        for (bytes, age) in self.registrations.iter().zip(&self.age_millis) {
            let Ok(registration) = postcard::from_bytes(bytes) else { continue };
            departures.push(Departure { registration, age: Span::millis(*age) });
        }
        let undecodable = self.registrations.len() - departures.len();
        (departures, undecodable)
    }
}

/// Changes of the published state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Push {
    /// Number that the changes start after, or 0 for the full state.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Number that the changes reach up to.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Milliseconds since the platform confirmed the number in `to`.
    #[prost(uint64, tag = "3")]
    pub age_millis: u64,
    /// Instance that was the first in the receiver's failure domain to have the
    /// changes. Empty if that is the receiver, or if `relay` is not set.
    #[prost(string, tag = "4")]
    pub root: String,
    /// Whether the receiver forwards the push inside its failure domain.
    #[prost(bool, tag = "6")]
    pub relay: bool,
    /// Changes, each encoded separately.
    #[prost(bytes = "vec", repeated, tag = "5")]
    pub changes: Vec<Vec<u8>>,
    /// Era of the number in `to`. Senders of older builds know only era 0.
    #[prost(uint64, tag = "7")]
    pub era: u64,
    /// Era of the number in `from`.
    #[prost(uint64, tag = "8")]
    pub from_era: u64,
    /// Size in bytes of the changes up to `to`, if they are offered instead of sent.
    #[prost(uint64, tag = "9")]
    pub offered_bytes: u64,
    /// Whether the receiver is not to pull the offered changes from the sender.
    #[prost(bool, tag = "10")]
    pub is_notice: bool,
    /// The time in the [`Pull`] that this answers, or 0 if it was not asked for.
    #[prost(uint64, tag = "11")]
    pub asked_at: u64,
}

/// Request for the changes that are newer than the sender's replica.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pull {
    /// Number of the sender's replica.
    #[prost(uint64, tag = "1")]
    pub have: u64,
    /// Era of the number in `have`.
    #[prost(uint64, tag = "2")]
    pub era: u64,
    /// Time of the sender's clock in microseconds, which the answer repeats.
    #[prost(uint64, tag = "3")]
    pub asked_at: u64,
}

impl Pull {
    /// Creates a request for the changes after `have`, sent at `now`.
    pub fn new(have: Version, now: Instant) -> Self {
        Pull { have: have.number.0, era: have.era.0, asked_at: now.0 }
    }

    /// Returns the version of the sender's replica.
    pub fn version(&self) -> Version {
        Version { era: Era(self.era), number: Number(self.have) }
    }
}

impl Push {
    /// Creates a push of `changes`, not to be forwarded. An empty `from` marks the
    /// full state.
    pub fn new(from: Version, to: Version, age_millis: u64, changes: &[Update]) -> Self {
        let mut encoded = Vec::new();
        for update in changes {
            // Encoding cannot fail for these plain data types.
            encoded.extend(postcard::to_allocvec(update));
        }
        Push {
            from: from.number.0,
            to: to.number.0,
            age_millis,
            root: String::new(),
            relay: false,
            changes: encoded,
            era: to.era.0,
            from_era: from.era.0,
            offered_bytes: 0,
            is_notice: false,
            asked_at: 0,
        }
    }

    /// Returns an offer of the changes. To an instance that has them it is a
    /// confirmation.
    pub fn to_offer(&self) -> Push {
        Push {
            from: self.to,
            from_era: self.era,
            changes: Vec::new(),
            offered_bytes: self.size() as u64,
            root: self.root.clone(),
            ..*self
        }
    }

    /// Returns whether the changes are offered instead of sent.
    pub fn is_offer(&self) -> bool {
        self.offered_bytes > 0 && self.changes.is_empty()
    }

    /// Returns the version that the changes start after.
    pub fn first(&self) -> Version {
        Version { era: Era(self.from_era), number: Number(self.from) }
    }

    /// Returns the version that the changes reach up to.
    pub fn last(&self) -> Version {
        Version { era: Era(self.era), number: Number(self.to) }
    }

    /// Returns the size of the encoded changes in bytes.
    pub fn size(&self) -> usize {
        self.changes.iter().map(Vec::len).sum()
    }

    /// Returns whether the changes are the full state.
    pub fn is_full(&self) -> bool {
        self.from == 0
    }

    /// Returns the changes and the number of entries that could not be decoded.
    pub fn decode(&self) -> (Vec<Update>, usize) {
        let mut changes = Vec::new();
        for bytes in &self.changes {
            changes.extend(postcard::from_bytes::<Update>(bytes));
        }
        let undecodable = self.changes.len() - changes.len();
        (changes, undecodable)
    }
}

impl From<Body> for Message {
    fn from(body: Body) -> Self {
        Message { body: Some(body) }
    }
}
