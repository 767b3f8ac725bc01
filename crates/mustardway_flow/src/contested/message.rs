//! Messages between instances about contested flows.

use std::net::{Ipv4Addr, SocketAddrV4};

use mustardway_types::time::Span;

use crate::packet::Flow;
use crate::token::Token;

/// One message between instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Content of the message. It is `None` if the receiver does not know the variant.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4")]
    pub body: Option<Body>,
}

/// Content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Request of an instance that has just started for all known flows.
    #[prost(message, tag = "1")]
    Request(Request),
    /// The holders of flows that have just opened.
    #[prost(message, tag = "2")]
    Announcement(Holders),
    /// All known flows, in answer to a [`Request`].
    #[prost(message, tag = "3")]
    Answer(Holders),
    /// An announcement was received.
    #[prost(message, tag = "4")]
    Confirmation(Confirmation),
}

/// Request for all known flows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {}

/// The targets that hold contested flows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Holders {
    /// The flows and their holders.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// Whether the receiver forwards the entries inside its failure domain.
    #[prost(bool, tag = "2")]
    pub relay: bool,
    /// Whether the sender knows all flows that are open.
    #[prost(bool, tag = "3")]
    pub is_complete: bool,
    /// Number of an announcement that the receiver confirms; 0 for all others.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Flows of whose opening packet a copy was sent to another target and whose holders
    /// the sender does not know.
    #[prost(message, repeated, tag = "5")]
    pub copies: Vec<Entry>,
}

impl Holders {
    /// Returns all entries, and for each whether its holder is known.
    pub fn all(&self) -> impl Iterator<Item = (&Entry, bool)> {
        let held = self.entries.iter().map(|entry| (entry, true));
        held.chain(self.copies.iter().map(|entry| (entry, false)))
    }
}

/// Confirmation that an announcement was received.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Confirmation {
    /// Number of the announcement.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// A flow and the target that holds it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Entry {
    /// Address and port of the caller.
    #[prost(fixed64, tag = "1")]
    pub caller: u64,
    /// Address and port of the route.
    #[prost(fixed64, tag = "2")]
    pub route: u64,
    /// Token of the target.
    #[prost(fixed32, tag = "3")]
    pub token: u32,
    /// Sequence number of the opening packet.
    #[prost(fixed32, tag = "4")]
    pub opening: u32,
    /// Milliseconds since the flow opened.
    #[prost(uint32, tag = "5")]
    pub age_millis: u32,
}

impl Entry {
    /// Maximum size of an encoded entry in bytes.
    pub const BYTES_MAX: usize = 36;

    /// Creates an entry for a flow that opened `age` ago.
    pub fn new(flow: Flow, token: Token, opening: u32, age: Span) -> Self {
        Entry {
            caller: encode_address(flow.caller),
            route: encode_address(flow.route),
            token: token.0,
            opening,
            age_millis: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the flow.
    pub fn flow(&self) -> Flow {
        Flow { caller: decode_address(self.caller), route: decode_address(self.route) }
    }
}

impl From<Body> for Message {
    fn from(body: Body) -> Self {
        Message { body: Some(body) }
    }
}

fn encode_address(address: SocketAddrV4) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

fn decode_address(number: u64) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits((number >> 16) as u32), number as u16)
}
