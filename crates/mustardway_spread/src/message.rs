//! What instances say to each other about revisions.

use bytes::Bytes;

/// One message between instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What it says; none where the sender is newer than the receiver.
    #[prost(oneof = "Body", tags = "1, 2, 3")]
    pub body: Option<Body>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// The sender has a revision in force.
    #[prost(message, tag = "1")]
    Offer(Offer),
    /// The sender wants the receiver's revision.
    #[prost(message, tag = "2")]
    Pull(Pull),
    /// One part of a revision.
    #[prost(message, tag = "3")]
    Part(Part),
}

/// The sender has a revision in force.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Offer {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Its digest.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Milliseconds since the platform confirmed it.
    #[prost(uint64, tag = "3")]
    pub age_millis: u64,
}

/// The sender wants the receiver's revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pull {
    /// Number that the sender has in force.
    #[prost(uint64, tag = "1")]
    pub base_number: u64,
    /// Its digest.
    #[prost(fixed64, tag = "2")]
    pub base_digest: u64,
    /// Send all files, not the difference.
    #[prost(bool, tag = "3")]
    pub whole: bool,
}

/// One part of a revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Part {
    /// Number of the revision.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Digest of the revision.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Index of this part, from 0.
    #[prost(uint32, tag = "3")]
    pub index: u32,
    /// Number of parts.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// Bytes of an encoded [`Delta`].
    #[prost(bytes = "bytes", tag = "5")]
    pub bytes: Bytes,
}

/// What changes from one revision to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// Number that it applies to; 0 for all files.
    #[prost(uint64, tag = "1")]
    pub base_number: u64,
    /// Digest of the files that it applies to.
    #[prost(fixed64, tag = "2")]
    pub base_digest: u64,
    /// Files added or replaced.
    #[prost(message, repeated, tag = "3")]
    pub files: Vec<File>,
    /// Names of files removed.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
}

/// One file.
#[derive(Clone, PartialEq, prost::Message)]
pub struct File {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Content.
    #[prost(bytes = "bytes", tag = "2")]
    pub content: Bytes,
}

impl From<Body> for Message {
    fn from(body: Body) -> Self {
        Message { body: Some(body) }
    }
}
