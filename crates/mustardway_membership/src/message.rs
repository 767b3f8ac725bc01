//! Messages between instances.
//!
//! Messages from peers are not trusted: at most [`ENTRIES_MAX`] entries of a
//! message are read, and an entry with a bad name, address or state is ignored
//! and counted.

use std::net::{IpAddr, SocketAddr};

use mustardway_types::instance;

use crate::member;

/// Greatest number of entries that are read from one message.
pub const ENTRIES_MAX: usize = 512;
/// Number of buckets that a table is split into for comparison by digest.
pub const BUCKETS: usize = 64;

/// A message between instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// The content. It is `None` if the sender runs a newer version with a kind of
    /// message that this version does not know.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<Body>,
}

/// The content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Shows that the sender is alive.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// Carries changes of instances.
    #[prost(message, tag = "2")]
    Gossip(Gossip),
    /// Asks whether the receiver has recently heard an instance.
    #[prost(message, tag = "3")]
    Query(Query),
    /// Answers a query.
    #[prost(message, tag = "4")]
    Vouch(Vouch),
    /// Carries the digests of the sender's table.
    #[prost(message, tag = "5")]
    Summary(Summary),
    /// Carries the buckets in which two tables differ.
    #[prost(message, tag = "6")]
    Table(Table),
}

/// Shows that the sender is alive and carries its sequence number, digests and
/// revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Sequence number, which grows with every heartbeat of one process.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Latest sequence number received from the receiver, or 0 if there is none.
    #[prost(uint64, tag = "2")]
    pub echo: u64,
    /// The sender's incarnation.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Digest of the sender's live list.
    #[prost(fixed64, tag = "4")]
    pub table: u64,
    /// Number of the configuration in force.
    #[prost(uint64, tag = "5")]
    pub number: u64,
    /// Digest of the configuration in force.
    #[prost(fixed64, tag = "6")]
    pub digest: u64,
    /// Milliseconds since the platform confirmed the configuration.
    #[prost(uint64, tag = "7")]
    pub age_millis: u64,
    /// Whether the receiver is a neighbour of the sender and is asked to watch
    /// it.
    #[prost(bool, tag = "8")]
    pub neighbour: bool,
    /// Whether the receiver is asked to reply at once.
    #[prost(bool, tag = "9")]
    pub probe: bool,
    /// Whether the sender does not know the receiver's present incarnation.
    #[prost(bool, tag = "10")]
    pub unknown: bool,
    /// The sender's own entry where the receiver may not know it, and the
    /// receiver's entry where the sender does not hold it for live.
    #[prost(message, repeated, tag = "11")]
    pub entries: Vec<Entry>,
}

/// Carries changes of instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Gossip {
    /// Entries of the changed instances.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
}

/// Asks whether the receiver has recently heard an instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Query {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub subject: String,
    /// Incarnation of the instance.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Answers a query. A positive answer clears the suspicion of an instance that
/// the querying instance cannot hear.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Vouch {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub subject: String,
    /// Incarnation of the instance.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether the sender has heard the instance within half a lease.
    #[prost(bool, tag = "3")]
    pub heard: bool,
    /// Milliseconds since the sender heard the instance.
    #[prost(uint64, tag = "4")]
    pub age_millis: u64,
}

/// Carries the digests of the sender's table, to find the buckets in which two
/// tables differ.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Summary {
    /// One digest per bucket, [`BUCKETS`] in all.
    #[prost(fixed64, repeated, tag = "1")]
    pub buckets: Vec<u64>,
}

/// Carries the buckets in which two tables differ.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Table {
    /// All entries of the buckets in `mask`; in an answer, where `mask` is 0, only
    /// those that are newer at the sender.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// Buckets of which the receiver is asked to send back newer entries, one bit
    /// per bucket; 0 if no answer is wanted.
    #[prost(fixed64, tag = "2")]
    pub mask: u64,
}

/// The record of one instance as sent to a peer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Failure domain; empty if the instance is not live, and in gossip if it is
    /// leaving or has raised its incarnation since its start.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// IP address of 4 or 16 bytes; empty in the same cases as the failure domain.
    #[prost(bytes = "vec", tag = "3")]
    pub ip: Vec<u8>,
    /// Port of the address.
    #[prost(uint32, tag = "4")]
    pub port: u32,
    /// Incarnation of the instance.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// State of the instance.
    #[prost(enumeration = "State", tag = "6")]
    pub state: i32,
    /// Amount by which the incarnation was raised since the failure domain and
    /// address were announced.
    #[prost(uint64, tag = "7")]
    pub raised: u64,
}

/// State of an instance as sent. [`member::State::Suspect`] is sent as alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum State {
    /// The instance serves.
    Alive = 0,
    /// The instance hands over its targets.
    Leaving = 1,
    /// A watcher has declared the instance dead.
    Dead = 2,
    /// The instance has stopped as planned.
    Left = 3,
}

impl Entry {
    /// Returns the full entry of `record`, for peers that may not know the
    /// instance.
    pub(crate) fn new(record: &member::Record) -> Self {
        let mut entry = Entry::without_member(record);
        if !record.state.is_live() {
            return entry;
        }
        let member = &record.member;
        entry.domain = member.domain.to_string();
        entry.port = u32::from(member.address.port());
        entry.ip = match member.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        entry
    }

    /// Returns the shortest entry that announces a change of `record`.
    pub(crate) fn for_push(record: &member::Record) -> Self {
        let never_raised = record.member.incarnation == record.base_incarnation;
        if never_raised && record.state != member::State::Leaving {
            return Entry::new(record);
        }
        Entry::without_member(record)
    }

    /// Returns whether the entry carries neither failure domain nor address.
    pub(crate) fn omits_member(&self) -> bool {
        self.domain.is_empty() && self.ip.is_empty()
    }

    /// Returns the incarnation that the failure domain and address were announced
    /// with.
    pub(crate) fn base_incarnation(&self) -> instance::Incarnation {
        instance::Incarnation(self.incarnation.saturating_sub(self.raised))
    }

    fn without_member(record: &member::Record) -> Self {
        let state = match record.state {
            member::State::Alive | member::State::Suspect => State::Alive,
            member::State::Leaving => State::Leaving,
            member::State::Dead => State::Dead,
            member::State::Left => State::Left,
        };
        Entry {
            id: record.member.id.to_string(),
            incarnation: record.member.incarnation.0,
            state: state.into(),
            raised: record.member.incarnation.0.saturating_sub(record.base_incarnation.0),
            ..Entry::default()
        }
    }

    /// Returns the state if its number is known.
    pub(crate) fn known_state(&self) -> Option<member::State> {
        let state = match State::try_from(self.state).ok()? {
            State::Alive => member::State::Alive,
            State::Leaving => member::State::Leaving,
            State::Dead => member::State::Dead,
            State::Left => member::State::Left,
        };
        Some(state)
    }

    /// Returns the name if it is well formed.
    pub(crate) fn id(&self) -> Option<instance::Id> {
        self.id.parse().ok()
    }

    /// Returns the member if every field is well formed.
    pub(crate) fn member(&self) -> Option<member::Member> {
        let ip = match self.ip.len() {
            4 => IpAddr::from(<[u8; 4]>::try_from(self.ip.as_slice()).ok()?),
            16 => IpAddr::from(<[u8; 16]>::try_from(self.ip.as_slice()).ok()?),
            _ => return None,
        };
        let port = u16::try_from(self.port).ok()?;
        Some(member::Member {
            id: self.id()?,
            domain: self.domain.parse().ok()?,
            address: SocketAddr::new(ip, port),
            incarnation: instance::Incarnation(self.incarnation),
        })
    }
}

impl From<Body> for Message {
    fn from(body: Body) -> Self {
        Message { body: Some(body) }
    }
}
