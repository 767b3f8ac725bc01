//! What instances say to each other about the published state.
//!
//! Changes travel as `postcard` inside the messages, so that an item of an
//! unknown shape is skipped by itself.

use mustardway_types::revision::Number;
use mustardway_types::time::Span;

use crate::publication::{Departure, Update};

/// One message between instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What it says; none where the sender is newer than the receiver.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    pub body: Option<Body>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Changes of the published state.
    #[prost(message, tag = "1")]
    Push(Push),
    /// The sender wants what is newer than its copy.
    #[prost(message, tag = "2")]
    Pull(Pull),
    /// The sender has just started and wants to know who departed before.
    #[prost(message, tag = "3")]
    Recall(Recall),
    /// Targets that departed a short while ago.
    #[prost(message, tag = "4")]
    Departed(Departed),
}

/// The sender has just started and wants to know who departed before.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Recall {}

/// Targets that departed a short while ago.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Departed {
    /// Milliseconds since the sender first knew the published state.
    #[prost(uint64, tag = "1")]
    pub known_millis: u64,
    /// What they had registered, each encoded by itself.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub registrations: Vec<Vec<u8>>,
    /// Milliseconds since each of them vanished.
    #[prost(uint64, repeated, tag = "3")]
    pub age_millis: Vec<u64>,
}

impl Departed {
    /// A message about `departures`.
    pub fn new(known: Span, departures: &[Departure]) -> Self {
        let mut message = Departed { known_millis: known.as_millis(), ..Departed::default() };
        for departure in departures {
            // Plain data of these types always encodes.
            let Ok(bytes) = postcard::to_allocvec(&departure.registration) else { continue };
            message.registrations.push(bytes);
            message.age_millis.push(departure.age.as_millis());
        }
        message
    }

    /// The departures, and how many could not be read.
    pub fn decode(&self) -> (Vec<Departure>, usize) {
        let mut departures = Vec::new();
        for (bytes, age) in self.registrations.iter().zip(&self.age_millis) {
            let Ok(registration) = postcard::from_bytes(bytes) else { continue };
            departures.push(Departure { registration, age: Span::millis(*age) });
        }
        let unread = self.registrations.len() - departures.len();
        (departures, unread)
    }
}

/// Changes of the published state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Push {
    /// The changes start after this number; 0 for the whole state.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// They reach up to this number.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Milliseconds since the platform confirmed that number.
    #[prost(uint64, tag = "3")]
    pub age_millis: u64,
    /// The instance that brought it into the receiver's failure domain; empty
    /// where the receiver is the one, or where it is not to be passed on.
    #[prost(string, tag = "4")]
    pub root: String,
    /// It is to be passed on inside the receiver's failure domain.
    #[prost(bool, tag = "6")]
    pub relay: bool,
    /// The changes, each encoded by itself.
    #[prost(bytes = "vec", repeated, tag = "5")]
    pub changes: Vec<Vec<u8>>,
}

/// The sender wants what is newer than its copy.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pull {
    /// Number of its copy.
    #[prost(uint64, tag = "1")]
    pub have: u64,
}

impl Push {
    /// A push of `changes`.
    pub fn new(from: Number, to: Number, age_millis: u64, changes: &[Update]) -> Self {
        let mut encoded = Vec::new();
        for update in changes {
            // Plain data of these types always encodes.
            encoded.extend(postcard::to_allocvec(update));
        }
        Push {
            from: from.0,
            to: to.0,
            age_millis,
            root: String::new(),
            relay: false,
            changes: encoded,
        }
    }

    /// The changes, and how many could not be read.
    pub fn decode(&self) -> (Vec<Update>, usize) {
        let mut changes = Vec::new();
        for bytes in &self.changes {
            changes.extend(postcard::from_bytes::<Update>(bytes));
        }
        let unread = self.changes.len() - changes.len();
        (changes, unread)
    }
}

impl From<Body> for Message {
    fn from(body: Body) -> Self {
        Message { body: Some(body) }
    }
}
