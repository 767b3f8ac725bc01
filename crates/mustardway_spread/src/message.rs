//! Messages between instances about revisions.

use bytes::Bytes;

/// A message between instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// The content. It is `None` if the sender runs a newer version with a kind of
    /// message that this version does not know.
    #[prost(oneof = "Body", tags = "1, 2, 3")]
    pub body: Option<Body>,
}

/// The content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Announces the revision that the sender has in force.
    #[prost(message, tag = "1")]
    Offer(Offer),
    /// Requests the revision that the receiver has in force.
    #[prost(message, tag = "2")]
    Pull(Pull),
    /// Carries one part of a revision.
    #[prost(message, tag = "3")]
    Part(Part),
}

/// Announces the revision that the sender has in force.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Offer {
    /// Number of the sender's revision.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Digest of the sender's revision.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Milliseconds since the platform last confirmed the revision to any instance.
    #[prost(uint64, tag = "3")]
    pub age_millis: u64,
}

/// Requests the revision that the receiver has in force.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pull {
    /// Number of the revision that the sender has in force.
    #[prost(uint64, tag = "1")]
    pub base_number: u64,
    /// Digest of the revision that the sender has in force.
    #[prost(fixed64, tag = "2")]
    pub base_digest: u64,
    /// Whether to send all files instead of the difference.
    #[prost(bool, tag = "3")]
    pub whole: bool,
}

/// Carries one part of a revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Part {
    /// Number of the revision.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Digest of the revision.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Index of this part, starting at 0.
    #[prost(uint32, tag = "3")]
    pub index: u32,
    /// Number of parts of the revision.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// The part's bytes of the encoded [`Delta`].
    #[prost(bytes = "bytes", tag = "5")]
    pub bytes: Bytes,
}

/// The difference between two revisions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// Number of the revision that the difference applies to; 0 if it holds all
    /// files.
    #[prost(uint64, tag = "1")]
    pub base_number: u64,
    /// Digest of the files that the difference applies to.
    #[prost(fixed64, tag = "2")]
    pub base_digest: u64,
    /// Files that are added or replaced.
    #[prost(message, repeated, tag = "3")]
    pub files: Vec<File>,
    /// Names of the files that are removed.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
}

/// A configuration file.
#[derive(Clone, PartialEq, prost::Message)]
pub struct File {
    /// Name of the file.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Content of the file.
    #[prost(bytes = "bytes", tag = "2")]
    pub content: Bytes,
}

impl From<Body> for Message {
    fn from(body: Body) -> Self {
        Message { body: Some(body) }
    }
}
