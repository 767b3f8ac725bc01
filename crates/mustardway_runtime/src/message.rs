//! Messages that instances exchange about packets, and the frame kinds of all messages.

use bytes::Bytes;
use mustardway_types::answer::{Answer, Reason, TABLE};
use mustardway_types::packet::Header;
use mustardway_types::time::Span;
use mustardway_types::{flow, request};
use prost::Message;

/// The type of message in a frame. Its number is added to the first free frame kind and sent in
/// the frame's `kind`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u32)]
pub enum Kind {
    /// A membership message.
    Membership = 1,
    /// A configuration distribution message.
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
    /// The state of a gate, sent to the next owner.
    Handover = 8,
    /// [`Accepted`].
    Accepted = 9,
    /// The flows and requests that an instance knows of a target whose owner was lost.
    Announcement = 10,
    /// [`Elsewhere`].
    Elsewhere = 11,
}

impl Kind {
    /// All kinds.
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

    /// Returns the kind with `number`, or `None` if no kind has it.
    pub fn from_number(number: u32) -> Option<Self> {
        Kind::ALL.into_iter().find(|kind| *kind as u32 == number)
    }
}

/// A request that an ingress forwards to the owner of a target.
#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    /// Id chosen by the ingress. The reply repeats it.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Header of the packet.
    #[prost(message, optional, tag = "2")]
    pub header: Option<HeaderMessage>,
    /// Payload of the packet.
    #[prost(bytes = "bytes", tag = "3")]
    pub payload: Bytes,
    /// Time until the deadline, in microseconds.
    #[prost(uint64, tag = "4")]
    pub remaining_micros: u64,
    /// Target that the ingress selected.
    #[prost(string, tag = "5")]
    pub target: String,
    /// Number of the mode, one of the constants in [`mode`].
    #[prost(uint32, tag = "6")]
    pub mode: u32,
    /// With [`mode::RESERVE`]: the target on which the ingress places the flow instead.
    #[prost(string, tag = "7")]
    pub elsewhere: String,
    /// With a mode that can place the flow: whether no request of the flow can have run before.
    #[prost(bool, tag = "8")]
    pub whole: bool,
    /// Peer address of the ingress, to which the reply is sent.
    #[prost(string, tag = "9")]
    pub reply_to: String,
}

/// Numbers of the modes of an [`Ask`].
pub mod mode {
    /// The flow is new and may be placed on the target.
    pub const OPEN: u32 = 0;
    /// The flow is established on the target.
    pub const ESTABLISHED: u32 = 1;
    /// The flow may be established on any target of the owner.
    pub const FIND: u32 = 2;
    /// The flow is placed on another target unless it is established on this one.
    pub const RESERVE: u32 = 3;
    /// The flow may be placed on the target, which is the last candidate.
    pub const OPEN_LAST: u32 = 4;
}

/// The header of a packet.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderMessage {
    /// Address of the service.
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
    /// Number of parts of the request.
    #[prost(uint32, tag = "5")]
    pub parts: u32,
    /// Whether the packet is the first of its flow.
    #[prost(bool, tag = "6")]
    pub opening: bool,
    /// Whether the packet is the last of its flow.
    #[prost(bool, tag = "7")]
    pub closing: bool,
    /// Whether the request must run at most once.
    #[prost(bool, tag = "8")]
    pub once: bool,
    /// Number of the attempt, counted from 1.
    #[prost(uint32, tag = "9")]
    pub attempt: u32,
    /// Whether the request is urgent.
    #[prost(bool, tag = "10")]
    pub urgent: bool,
}

impl HeaderMessage {
    /// Converts a header to a message.
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

    /// Converts the message to a header. Returns `None` if the address is malformed.
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

/// The reply of an owner to an [`Ask`].
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// Id of the ask.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Outcome of the ask.
    #[prost(oneof = "Outcome", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub outcome: Option<Outcome>,
}

/// The outcome of an [`Ask`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Outcome {
    /// The target answered.
    #[prost(message, tag = "2")]
    Done(Done),
    /// A final answer without payload.
    #[prost(message, tag = "3")]
    Final(Final),
    /// The flow is established on the named target.
    #[prost(string, tag = "4")]
    Moved(String),
    /// The flow is unknown. The flag tells whether all gates of the owner were searched.
    #[prost(bool, tag = "5")]
    UnknownFlow(bool),
    /// The instance is not the owner. Holds the owner's name, or is empty if it is unknown.
    #[prost(string, tag = "6")]
    NotOwner(String),
    /// The owner is not ready yet. Holds the time to wait in microseconds.
    #[prost(uint64, tag = "7")]
    Wait(u64),
    /// The owner does not place the flow on the target.
    #[prost(message, tag = "8")]
    TryNext(TryNext),
    /// The flow is recorded as placed on another target. The flag tells whether no request of the
    /// flow can have run before.
    #[prost(bool, tag = "9")]
    Reserved(bool),
}

/// A refusal after which the ingress may ask its next candidate.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TryNext {
    /// Answer for the caller if there is no next candidate.
    #[prost(message, required, tag = "1")]
    pub answer: Final,
    /// Whether no request of the flow can have run before.
    #[prost(bool, tag = "2")]
    pub whole: bool,
}

/// The answer of a target.
#[derive(Clone, PartialEq, Message)]
pub struct Done {
    /// Target that ran the request.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Payload of the answer.
    #[prost(bytes = "bytes", tag = "2")]
    pub payload: Bytes,
    /// Open flows of the target divided by the number that it may have now; 1 is full.
    #[prost(double, tag = "3")]
    pub load: f64,
}

/// A final answer without payload.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Final {
    /// Index of the reason in [`TABLE`].
    #[prost(uint32, tag = "1")]
    pub reason: u32,
    /// Time after which the caller may retry, in microseconds; 0 if the answer gives none.
    #[prost(uint64, tag = "2")]
    pub come_back_micros: u64,
}

impl Final {
    /// Converts an answer to a message.
    pub fn new(answer: Answer) -> Self {
        Final {
            reason: answer.reason as u32,
            come_back_micros: answer.come_back.map_or(0, |span| span.0),
        }
    }

    /// Converts the message to an answer. An unknown reason becomes [`Reason::OwnerLost`], which
    /// does not claim whether the request ran.
    pub fn to_answer(&self) -> Answer {
        let entry = usize::try_from(self.reason).ok().and_then(|index| TABLE.get(index));
        let reason = entry.map_or(Reason::OwnerLost, |(reason, _)| *reason);
        let come_back = (self.come_back_micros > 0).then_some(Span(self.come_back_micros));
        Answer { reason, come_back }
    }
}

/// Cancels an [`Ask`] whose ingress no longer waits for the reply.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Cancel {
    /// Id of the ask.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
}

/// Asks another instance to remember a once-only request before the sender runs it. The sender is
/// both owner and ingress of the request, so if it was lost, no other instance would know that the
/// request may have run.
#[derive(Clone, PartialEq, Message)]
pub struct Witness {
    /// Id chosen by the sender. The acknowledgement repeats it.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Target that runs the request.
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
    /// Peer address of the sender, to which the acknowledgement is sent.
    #[prost(string, tag = "6")]
    pub reply_to: String,
}

/// Acknowledges a [`Witness`]: the request is remembered.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Witnessed {
    /// Id of the [`Witness`] message.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
}

/// Acknowledges a complete handover: the next owner has taken over the gate.
#[derive(Clone, PartialEq, Message)]
pub struct Accepted {
    /// Target of the gate.
    #[prost(string, tag = "1")]
    pub target: String,
}

/// Tells an owner that refused a new flow where the flow was placed.
#[derive(Clone, PartialEq, Message)]
pub struct Elsewhere {
    /// Target whose owner refused the flow.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Flow.
    #[prost(fixed64, tag = "2")]
    pub flow: u64,
    /// Target that accepted the flow; empty if none did.
    #[prost(string, tag = "3")]
    pub elsewhere: String,
    /// Request that would have opened the flow.
    #[prost(fixed64, tag = "4")]
    pub request: u64,
    /// Part of the request.
    #[prost(uint32, tag = "5")]
    pub part: u32,
    /// Number of the refused attempt, counted from 1.
    #[prost(uint32, tag = "6")]
    pub attempt: u32,
}
