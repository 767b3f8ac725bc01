//! Messages of the packet path between instances.

use bytes::Bytes;
use mustardway_types::answer::{Answer, Reason, TABLE};
use mustardway_types::packet::Header;
use mustardway_types::time::Span;
use mustardway_types::{flow, request};
use prost::Message;

/// What a frame carries; the number stands in the frame's `kind`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u32)]
pub enum Kind {
    /// A message of membership.
    Membership = 1,
    /// A message of the spread of configuration.
    Spread = 2,
    /// [`Ask`].
    Ask = 3,
    /// [`Reply`].
    Reply = 4,
    /// [`Cancel`].
    Cancel = 5,
    /// [`Witness`].
    Witness = 6,
    /// [`Witnessed`].
    Witnessed = 7,
    /// A gate's state on its way to the next owner.
    Handover = 8,
    /// [`Accepted`].
    Accepted = 9,
    /// What an instance remembers of a target whose owner was lost.
    Announcement = 10,
    /// [`Elsewhere`].
    Elsewhere = 11,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 11] = [
        Kind::Membership,
        Kind::Spread,
        Kind::Ask,
        Kind::Reply,
        Kind::Cancel,
        Kind::Witness,
        Kind::Witnessed,
        Kind::Handover,
        Kind::Accepted,
        Kind::Announcement,
        Kind::Elsewhere,
    ];

    /// The kind with `number`.
    pub fn from_number(number: u32) -> Option<Self> {
        Kind::ALL.into_iter().find(|kind| *kind as u32 == number)
    }
}

/// An ingress asks an owner to run a request.
#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    /// Chosen by the ingress; the reply carries it.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The packet's header.
    #[prost(message, optional, tag = "2")]
    pub header: Option<HeaderMessage>,
    /// The packet's payload.
    #[prost(bytes = "bytes", tag = "3")]
    pub payload: Bytes,
    /// Time left, in microseconds.
    #[prost(uint64, tag = "4")]
    pub remaining_micros: u64,
    /// Target asked for.
    #[prost(string, tag = "5")]
    pub target: String,
    /// What is asked, from [`mode`].
    #[prost(uint32, tag = "6")]
    pub mode: u32,
    /// With [`mode::RESERVE`]: where the flow goes.
    #[prost(string, tag = "7")]
    pub elsewhere: String,
    /// With a mode that opens: no request of the flow can have run before.
    #[prost(bool, tag = "8")]
    pub whole: bool,
    /// Where the ingress listens for its peers.
    #[prost(string, tag = "9")]
    pub reply_to: String,
}

/// Numbers of an ask's mode.
pub mod mode {
    /// The flow may be placed.
    pub const OPEN: u32 = 0;
    /// The flow lives on the target.
    pub const ESTABLISHED: u32 = 1;
    /// The flow may live on any target of the owner.
    pub const FIND: u32 = 2;
    /// The flow goes elsewhere unless it lives on the target.
    pub const RESERVE: u32 = 3;
    /// The flow may be placed, and no other target is left for it.
    pub const OPEN_LAST: u32 = 4;
}

/// A packet's header.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderMessage {
    /// Service address.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Flow.
    #[prost(fixed64, tag = "2")]
    pub flow: u64,
    /// Request.
    #[prost(fixed64, tag = "3")]
    pub request: u64,
    /// Part.
    #[prost(uint32, tag = "4")]
    pub part: u32,
    /// Parts in all.
    #[prost(uint32, tag = "5")]
    pub parts: u32,
    /// First packet of its flow.
    #[prost(bool, tag = "6")]
    pub opening: bool,
    /// Last packet of its flow.
    #[prost(bool, tag = "7")]
    pub closing: bool,
    /// It may not be repeated.
    #[prost(bool, tag = "8")]
    pub once: bool,
    /// Attempt, from 1.
    #[prost(uint32, tag = "9")]
    pub attempt: u32,
    /// It is urgent.
    #[prost(bool, tag = "10")]
    pub urgent: bool,
}

impl HeaderMessage {
    /// Writes a header.
    pub fn new(header: &Header) -> Self {
        HeaderMessage {
            address: header.address.to_string(),
            flow: header.flow.0,
            request: header.request.0,
            part: header.part,
            parts: header.parts,
            opening: header.opening,
            closing: header.closing,
            once: header.repeat == request::Repeat::Once,
            attempt: header.attempt,
            urgent: header.urgency == request::Urgency::Urgent,
        }
    }

    /// Reads the header; none where it is malformed.
    pub fn to_header(&self) -> Option<Header> {
        Some(Header {
            address: self.address.parse().ok()?,
            flow: flow::Id(self.flow),
            request: request::Id(self.request),
            part: self.part,
            parts: self.parts.max(1),
            opening: self.opening,
            closing: self.closing,
            repeat: if self.once { request::Repeat::Once } else { request::Repeat::Idempotent },
            attempt: self.attempt.max(1),
            urgency: if self.urgent {
                request::Urgency::Urgent
            } else {
                request::Urgency::Ordinary
            },
        })
    }
}

/// An owner's reply to an ask.
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// The ask's id.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// What became of it.
    #[prost(oneof = "Outcome", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub outcome: Option<Outcome>,
}

/// What became of an ask.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Outcome {
    /// The target answered.
    #[prost(message, tag = "2")]
    Done(Done),
    /// A final answer without payload.
    #[prost(message, tag = "3")]
    Final(Final),
    /// The flow lives on this target.
    #[prost(string, tag = "4")]
    Moved(String),
    /// The flow is not known; whether that holds for all gates of the owner.
    #[prost(bool, tag = "5")]
    UnknownFlow(bool),
    /// The instance is not the owner; who is, or empty.
    #[prost(string, tag = "6")]
    NotOwner(String),
    /// The owner is ready after so many microseconds.
    #[prost(uint64, tag = "7")]
    Wait(u64),
    /// The flow is not opened there.
    #[prost(message, tag = "8")]
    TryNext(TryNext),
    /// The flow is marked as placed elsewhere; whether no request of it can
    /// have run before.
    #[prost(bool, tag = "9")]
    Reserved(bool),
}

/// A refusal that lets the ingress ask its next candidate.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TryNext {
    /// The answer where there is no next candidate.
    #[prost(message, required, tag = "1")]
    pub answer: Final,
    /// Whether no request of the flow can have run before.
    #[prost(bool, tag = "2")]
    pub whole: bool,
}

/// An answer of a target.
#[derive(Clone, PartialEq, Message)]
pub struct Done {
    /// Target that ran the request.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Its payload.
    #[prost(bytes = "bytes", tag = "2")]
    pub payload: Bytes,
    /// Load of the target, 1 being full.
    #[prost(double, tag = "3")]
    pub load: f64,
}

/// A final answer without payload.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Final {
    /// Place of the reason in the table of answers.
    #[prost(uint32, tag = "1")]
    pub reason: u32,
    /// When to come back, in microseconds; 0 for none.
    #[prost(uint64, tag = "2")]
    pub come_back_micros: u64,
}

impl Final {
    /// Writes an answer.
    pub fn new(answer: Answer) -> Self {
        Final {
            reason: answer.reason as u32,
            come_back_micros: answer.come_back.map_or(0, |span| span.0),
        }
    }

    /// Reads the answer; a reason that is not known claims nothing.
    pub fn to_answer(&self) -> Answer {
        let entry = usize::try_from(self.reason).ok().and_then(|index| TABLE.get(index));
        let reason = entry.map_or(Reason::OwnerLost, |(reason, _)| *reason);
        let come_back = (self.come_back_micros > 0).then_some(Span(self.come_back_micros));
        Answer { reason, come_back }
    }
}

/// The caller of an ask went away.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Cancel {
    /// The ask's id.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
}

/// An owner that is its own ingress has another instance remember a request
/// that may not be repeated before it runs it.
#[derive(Clone, PartialEq, Message)]
pub struct Witness {
    /// Chosen by the asker; the acknowledgement carries it.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Target that the request runs on.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Flow.
    #[prost(fixed64, tag = "3")]
    pub flow: u64,
    /// Request.
    #[prost(fixed64, tag = "4")]
    pub request: u64,
    /// Part.
    #[prost(uint32, tag = "5")]
    pub part: u32,
    /// Where the asker listens for its peers.
    #[prost(string, tag = "6")]
    pub reply_to: String,
}

/// The witness remembers.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Witnessed {
    /// The witness's id.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
}

/// The next owner has taken a gate's state.
#[derive(Clone, PartialEq, Message)]
pub struct Accepted {
    /// Target whose gate it is.
    #[prost(string, tag = "1")]
    pub target: String,
}

/// The owner of a flow's first candidate learns where the flow went.
#[derive(Clone, PartialEq, Message)]
pub struct Elsewhere {
    /// First candidate.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Flow.
    #[prost(fixed64, tag = "2")]
    pub flow: u64,
    /// Target that took it; empty where none did.
    #[prost(string, tag = "3")]
    pub elsewhere: String,
    /// Request that would have opened it.
    #[prost(fixed64, tag = "4")]
    pub request: u64,
    /// Its part.
    #[prost(uint32, tag = "5")]
    pub part: u32,
    /// Attempt that was refused.
    #[prost(uint32, tag = "6")]
    pub attempt: u32,
}
