//! Conversion between the generated wire types and the domain types.

use displaydoc::Display;
use mustardway_types::packet::Header;
use mustardway_types::{answer, flow, request};

use crate::packet;

/// Maximum number of parts that an answer can be split into.
pub const PARTS_MAX: u32 = 1 << 20;

/// Reason why a packet's header is rejected as malformed.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// the packet has no header
    NoHeader,
    /// the header's address is no IP address with port
    Address,
    /// the header asks for part {part} of {parts}
    Part {
        /// Index of the requested part, counted from 0.
        part: u32,
        /// Total number of parts of the answer.
        parts: u32,
    },
    /// attempts count from 1
    Attempt,
    /// the urgency is not a known one
    Urgency,
}

impl std::error::Error for Error {}

/// Decodes a packet's header; a part count of 0 is read as 1.
///
/// # Errors
///
/// Returns [`Error::NoHeader`] if there is no header, and otherwise the error of the first field check
/// that fails.
pub fn decode_header(wire: Option<&packet::Header>) -> Result<Header, Error> {
    let wire = wire.ok_or(Error::NoHeader)?;
    let parts = wire.parts.max(1);
    if wire.part >= parts || parts > PARTS_MAX {
        return Err(Error::Part { part: wire.part, parts: wire.parts });
    }
    if wire.attempt == 0 {
        return Err(Error::Attempt);
    }
    Ok(Header {
        address: wire.address.parse().map_err(|_| Error::Address)?,
        flow: flow::Id(wire.flow),
        request: request::Id(wire.request),
        part: wire.part,
        parts,
        opening: wire.opening,
        closing: wire.closing,
        repeat: if wire.once { request::Repeat::Once } else { request::Repeat::Idempotent },
        attempt: wire.attempt,
        urgency: decode_urgency(wire.urgency)?,
    })
}

/// Encodes a packet's header.
pub fn encode_header(header: &Header) -> packet::Header {
    packet::Header {
        address: header.address.to_string().into(),
        flow: header.flow.0,
        request: header.request.0,
        part: header.part,
        parts: header.parts,
        opening: header.opening,
        closing: header.closing,
        once: header.repeat == request::Repeat::Once,
        attempt: header.attempt,
        urgency: match header.urgency {
            request::Urgency::Ordinary => packet::Urgency::ORDINARY,
            request::Urgency::Urgent => packet::Urgency::URGENT,
        },
    }
}

/// Decodes the urgency of a request.
fn decode_urgency(wire: packet::Urgency) -> Result<request::Urgency, Error> {
    match wire {
        packet::Urgency::ORDINARY => Ok(request::Urgency::Ordinary),
        packet::Urgency::URGENT => Ok(request::Urgency::Urgent),
        _ => Err(Error::Urgency),
    }
}

/// Encodes the kind of an answer.
pub fn encode_kind(kind: answer::Kind) -> packet::Answer {
    match kind {
        answer::Kind::Done => packet::Answer::DONE,
        answer::Kind::Refused => packet::Answer::REFUSED,
        answer::Kind::GaveUp => packet::Answer::GAVE_UP,
        answer::Kind::Unknown => packet::Answer::UNKNOWN,
        answer::Kind::FlowEnded => packet::Answer::FLOW_ENDED,
        answer::Kind::BadRequest => packet::Answer::BAD_REQUEST,
    }
}

/// Decodes the kind of an answer.
///
/// A value that this version does not know becomes [`answer::Kind::Unknown`], which makes no claim
/// about whether the request ran.
pub fn decode_kind(wire: packet::Answer) -> answer::Kind {
    match wire {
        packet::Answer::DONE => answer::Kind::Done,
        packet::Answer::REFUSED => answer::Kind::Refused,
        packet::Answer::GAVE_UP => answer::Kind::GaveUp,
        packet::Answer::FLOW_ENDED => answer::Kind::FlowEnded,
        packet::Answer::BAD_REQUEST => answer::Kind::BadRequest,
        _ => answer::Kind::Unknown,
    }
}

/// Encodes `answer` as a reply without payload to the request that `header` identifies.
///
/// A retry delay below one millisecond is sent as one millisecond, since 0 stands for no delay.
pub fn encode_reply(header: Option<&packet::Header>, answer: &answer::Answer) -> packet::Reply {
    let mut reply = packet::Reply {
        answer: encode_kind(answer.kind()),
        reason: answer.reason.to_string().into(),
        come_back_millis: answer.come_back.map_or(0, |span| span.as_millis().max(1)),
        ..Default::default()
    };
    if let Some(header) = header {
        reply.flow = header.flow;
        reply.request = header.request;
        reply.part = header.part;
        reply.parts = header.parts;
    }
    reply
}
