//! What instances say to each other.
//!
//! Every message is safe to decode: counts are bounded by [`ENTRIES_MAX`], and
//! an entry with a bad name, address or state is ignored and counted.

use std::net::{IpAddr, SocketAddr};

use mustardway_types::instance;

use crate::member;

/// Greatest number of entries that are read from one message.
pub const ENTRIES_MAX: usize = 512;
/// Number of buckets that the digest of a table is split into.
pub const BUCKETS: usize = 64;

/// One message between instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What it says; none where the sender is newer than the receiver.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<Body>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A sign of life.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// Changes to the live list.
    #[prost(message, tag = "2")]
    Gossip(Gossip),
    /// Has the receiver heard an instance?
    #[prost(message, tag = "3")]
    Query(Query),
    /// Answer to a query.
    #[prost(message, tag = "4")]
    Vouch(Vouch),
    /// Digests of a table, to find where two tables differ.
    #[prost(message, tag = "5")]
    Summary(Summary),
    /// The part of a table that differs.
    #[prost(message, tag = "6")]
    Table(Table),
}

/// A sign of life.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Grows with every heartbeat of one life.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Latest sequence number heard from the receiver, 0 for none.
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
    /// The receiver is a neighbour of the sender and is to watch it.
    #[prost(bool, tag = "8")]
    pub neighbour: bool,
    /// Answer at once.
    #[prost(bool, tag = "9")]
    pub probe: bool,
    /// The sender does not know the receiver's present life.
    #[prost(bool, tag = "10")]
    pub unknown: bool,
    /// Changes, and the sender itself while it is new to the receiver.
    #[prost(message, repeated, tag = "11")]
    pub entries: Vec<Entry>,
}

/// Changes to the live list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Gossip {
    /// Changed instances.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
}

/// Has the receiver heard an instance?
#[derive(Clone, PartialEq, prost::Message)]
pub struct Query {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub subject: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Answer to a query.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Vouch {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub subject: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Whether the sender has heard it within half a lease.
    #[prost(bool, tag = "3")]
    pub heard: bool,
    /// Milliseconds since then.
    #[prost(uint64, tag = "4")]
    pub age_millis: u64,
}

/// Digests of a table, to find where two tables differ.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Summary {
    /// One digest a bucket, [`BUCKETS`] in all.
    #[prost(fixed64, repeated, tag = "1")]
    pub buckets: Vec<u64>,
}

/// The part of a table that differs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Table {
    /// All entries of the buckets that `mask` names.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// One bit a bucket; 0 where nothing is wanted back.
    #[prost(fixed64, tag = "2")]
    pub mask: u64,
}

/// One instance as told by another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Failure domain; empty for one that is not live or has raised its
    /// incarnation within one life.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// 4 or 16 bytes of IP number; empty like the failure domain.
    #[prost(bytes = "vec", tag = "3")]
    pub ip: Vec<u8>,
    /// Port.
    #[prost(uint32, tag = "4")]
    pub port: u32,
    /// Incarnation.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// State.
    #[prost(enumeration = "State", tag = "6")]
    pub state: i32,
    /// By how much the incarnation was raised within this life.
    #[prost(uint64, tag = "7")]
    pub raised: u64,
}

/// States as sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum State {
    /// Serving.
    Alive = 0,
    /// Handing over.
    Leaving = 1,
    /// Declared dead.
    Dead = 2,
    /// Stopped as planned.
    Left = 3,
}

impl Entry {
    /// The entry that tells of `record` to those who need not know it.
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

    /// The entry that tells of a change of `record`, as short as may be.
    pub(crate) fn for_push(record: &member::Record) -> Self {
        let never_raised = record.member.incarnation == record.base_incarnation;
        if never_raised && record.state != member::State::Leaving {
            return Entry::new(record);
        }
        Entry::without_member(record)
    }

    /// Whether it tells neither failure domain nor address.
    pub(crate) fn omits_member(&self) -> bool {
        self.domain.is_empty() && self.ip.is_empty()
    }

    /// Incarnation that failure domain and address were told with.
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

    /// The state, where it is a known one.
    pub(crate) fn known_state(&self) -> Option<member::State> {
        let state = match State::try_from(self.state).ok()? {
            State::Alive => member::State::Alive,
            State::Leaving => member::State::Leaving,
            State::Dead => member::State::Dead,
            State::Left => member::State::Left,
        };
        Some(state)
    }

    /// The name, where it is one.
    pub(crate) fn id(&self) -> Option<instance::Id> {
        self.id.parse().ok()
    }

    /// The member, where every part of it is well formed.
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
