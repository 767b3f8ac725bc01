//! From wire to domain types and back.

use displaydoc::Display;
use mustardway_types::packet::Header;
use mustardway_types::{answer, flow, request};

use crate::packet;

/// Greatest number of parts of one answer.
pub const PARTS_MAX: u32 = 1 << 20;

/// Why a packet's header is not well formed.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// the packet has no header
    NoHeader,
    /// the header's address is no IP address with port
    Address,
    /// the header asks for part {part} of {parts}
    Part {
        /// Part asked for.
        part: u32,
        /// Parts in all.
        parts: u32,
    },
    /// attempts count from 1
    Attempt,
    /// the urgency is not a known one
    Urgency,
}

impl std::error::Error for Error {}

/// Reads a header.
///
/// # Errors
///
/// Names the first field that is not well formed.
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
        urgency: urgency(wire.urgency)?,
    })
}

/// Writes a header.
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

/// Reads an urgency.
fn urgency(wire: packet::Urgency) -> Result<request::Urgency, Error> {
    match wire {
        packet::Urgency::ORDINARY => Ok(request::Urgency::Ordinary),
        packet::Urgency::URGENT => Ok(request::Urgency::Urgent),
        _ => Err(Error::Urgency),
    }
}

/// Writes the kind of an answer.
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

/// Reads the kind of an answer; an unknown one claims nothing.
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

/// Writes a reply without payload to the request of `header`.
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
