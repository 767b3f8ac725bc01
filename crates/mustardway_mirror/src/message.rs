//! What instances say to each other about the published state.
//!
//! Changes travel as `postcard` inside the messages, so that an item of an
//! unknown shape is skipped by itself.

use mustardway_types::revision::Number;

use crate::publication::Dated;

/// One message between instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What it says; none where the sender is newer than the receiver.
    #[prost(oneof = "Body", tags = "1, 2")]
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
    pub fn new(from: Number, to: Number, age_millis: u64, changes: &[Dated]) -> Self {
        let mut encoded = Vec::new();
        for dated in changes {
            // Plain data of these types always encodes.
            encoded.extend(postcard::to_allocvec(dated));
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
    pub fn decode(&self) -> (Vec<Dated>, usize) {
        let mut changes = Vec::new();
        for bytes in &self.changes {
            changes.extend(postcard::from_bytes::<Dated>(bytes));
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
