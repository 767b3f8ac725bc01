//! What owners and ingresses tell each other about a target.
//!
//! Points of time travel as ages or as time left, in microseconds, since the
//! instances' clocks differ. A long message is cut into parts of at most
//! [`MAX_PART_BYTES`] bytes; the summary comes with the last one.

use bytes::Bytes;
use displaydoc::Display;
use prost::Message;

/// Greatest size of one part, in bytes.
pub const MAX_PART_BYTES: usize = 256 * 1_024;

/// Size kept free for the fields around the records of a part, in bytes.
const PART_OVERHEAD_BYTES: usize = 1_024;

/// Why a message was not taken in.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// the message is about another target
    Target,
    /// the message names no instance
    Instance,
    /// the message has a record without a meaning
    Record,
    /// the time for announcements is over
    Late,
}

impl std::error::Error for Error {}

/// How a remembered request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Ending {
    /// Not told.
    Unspecified = 0,
    /// It has not run.
    NotRun = 1,
    /// It may have run.
    Unknown = 2,
    /// It runs at the named instance.
    Running = 3,
    /// It ran with the given reply.
    Done = 4,
}

/// One open flow.
#[derive(Clone, PartialEq, Message)]
pub struct Flow {
    /// Its id.
    #[prost(fixed64, tag = "1")]
    pub flow: u64,
    /// Time since it was opened, in microseconds.
    #[prost(uint64, tag = "2")]
    pub opened: u64,
    /// Time since its last packet, in microseconds.
    #[prost(uint64, tag = "3")]
    pub used: u64,
    /// Whether one of its requests may have run.
    #[prost(bool, tag = "4")]
    pub ran: bool,
    /// Whether its requests are known from its opening on.
    #[prost(bool, tag = "5")]
    pub whole: bool,
}

/// One flow that was placed on another target.
#[derive(Clone, PartialEq, Message)]
pub struct Placement {
    /// Its id.
    #[prost(fixed64, tag = "1")]
    pub flow: u64,
    /// That target; empty where the opening packet was refused.
    #[prost(string, tag = "2")]
    pub target: String,
    /// The refusal, where the opening packet was refused.
    #[prost(message, optional, tag = "3")]
    pub refusal: Option<Refusal>,
}

/// Refusal of an opening packet, until its ingress reports.
#[derive(Clone, PartialEq, Message)]
pub struct Refusal {
    /// Whether it was for lack of room, and not since the target takes no new flows.
    #[prost(bool, tag = "1")]
    pub full: bool,
    /// Time after which the caller is to come back, in microseconds.
    #[prost(uint64, tag = "2")]
    pub come_back: u64,
    /// Whether no request of the flow can have run before.
    #[prost(bool, tag = "3")]
    pub whole: bool,
    /// Whether it was only for the sake of balance.
    #[prost(bool, tag = "4")]
    pub soft: bool,
    /// Ingresses that were told so and have not reported.
    #[prost(uint32, tag = "5")]
    pub open: u32,
}

/// One request that may not be repeated.
#[derive(Clone, PartialEq, Message)]
pub struct Request {
    /// Its flow.
    #[prost(fixed64, tag = "1")]
    pub flow: u64,
    /// Its id on that flow.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// Its part.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// How it ended.
    #[prost(enumeration = "Ending", tag = "4")]
    pub ending: i32,
    /// Its reply.
    #[prost(bytes = "bytes", tag = "5")]
    pub reply: Bytes,
    /// Instance that runs it.
    #[prost(string, tag = "6")]
    pub at: String,
    /// Time left until its deadline, in microseconds.
    #[prost(uint64, tag = "7")]
    pub left: u64,
    /// Latest attempt that was told of a refusal.
    #[prost(uint32, tag = "8")]
    pub attempt: u32,
}

/// Requests that run at one time at one instance.
#[derive(Clone, PartialEq, Message)]
pub struct Running {
    /// That instance.
    #[prost(string, tag = "1")]
    pub at: String,
    /// Time left until each deadline, in microseconds.
    #[prost(uint64, repeated, tag = "2")]
    pub left: Vec<u64>,
}

/// What there is once in a handover.
#[derive(Clone, PartialEq, Message)]
pub struct Summary {
    /// Time since which everything is known, in microseconds.
    #[prost(uint64, tag = "1")]
    pub complete: u64,
    /// Level of the ramp, in slots.
    #[prost(double, tag = "2")]
    pub level: f64,
    /// Mean time of one request, in microseconds.
    #[prost(double, optional, tag = "3")]
    pub service: Option<f64>,
    /// Mean time of one request while warm, in microseconds.
    #[prost(double, optional, tag = "4")]
    pub baseline: Option<f64>,
    /// Time left during which half of the slots are used at most, in microseconds.
    #[prost(uint64, tag = "5")]
    pub reduced: u64,
    /// Requests that still run.
    #[prost(message, repeated, tag = "6")]
    pub running: Vec<Running>,
    /// Words of the filter of forgotten requests.
    #[prost(fixed64, repeated, tag = "7")]
    pub filter: Vec<u64>,
    /// Whether the health endpoint says that the target does not serve.
    #[prost(bool, tag = "8")]
    pub unhealthy: bool,
}

/// State of a target from its earlier owner to the next, or a part of it.
#[derive(Clone, PartialEq, Message)]
pub struct Handover {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The earlier owner.
    #[prost(string, tag = "2")]
    pub from: String,
    /// Number of this part, from 0.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Number of parts; 0 in a message about requests that ended after the handover.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// Open flows.
    #[prost(message, repeated, tag = "5")]
    pub flows: Vec<Flow>,
    /// Flows placed elsewhere.
    #[prost(message, repeated, tag = "6")]
    pub placements: Vec<Placement>,
    /// Requests that may not be repeated.
    #[prost(message, repeated, tag = "7")]
    pub requests: Vec<Request>,
    /// What comes with the last part.
    #[prost(message, optional, tag = "8")]
    pub summary: Option<Summary>,
    /// Requests that ended since the handover.
    #[prost(uint32, tag = "9")]
    pub ended: u32,
    /// Flows that were closed since the handover.
    #[prost(fixed64, repeated, tag = "10")]
    pub closed: Vec<u64>,
}

/// What an ingress knows of a target whose owner was lost.
#[derive(Clone, PartialEq, Message)]
pub struct Announcement {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Flows that are open there.
    #[prost(fixed64, repeated, tag = "2")]
    pub flows: Vec<u64>,
    /// Requests that were sent to the lost owner without an answer; only their ids matter.
    #[prost(message, repeated, tag = "3")]
    pub requests: Vec<Request>,
}

/// Takes records off the front of `all` while they fit.
fn take_fitting<R: Message + Clone>(
    all: &mut std::vec::IntoIter<R>,
    free_bytes: &mut usize,
) -> Vec<R> {
    let mut taken = Vec::new();
    while let Some(first) = all.as_slice().first() {
        let size = first.encoded_len() + prost::length_delimiter_len(first.encoded_len()) + 1;
        if size > *free_bytes {
            break;
        }
        *free_bytes -= size;
        taken.extend(all.next());
    }
    taken
}

impl Handover {
    /// The same in parts of at most [`MAX_PART_BYTES`] bytes.
    pub fn into_parts(self) -> Vec<Handover> {
        let head = |part| Handover {
            target: self.target.clone(),
            from: self.from.clone(),
            part,
            ..Handover::default()
        };
        let (mut flows, mut placements) = (self.flows.into_iter(), self.placements.into_iter());
        let mut requests = self.requests.into_iter();
        let mut parts = Vec::new();
        while flows.len() + placements.len() + requests.len() > 0 {
            let mut part = head(parts.len() as u32);
            let mut free_bytes = MAX_PART_BYTES - PART_OVERHEAD_BYTES;
            part.flows = take_fitting(&mut flows, &mut free_bytes);
            part.placements = take_fitting(&mut placements, &mut free_bytes);
            part.requests = take_fitting(&mut requests, &mut free_bytes);
            parts.push(part);
        }
        let mut last = head(parts.len() as u32);
        last.summary = self.summary;
        last.ended = self.ended;
        last.closed = self.closed;
        parts.push(last);
        let count = if self.parts == 0 { 0 } else { parts.len() as u32 };
        for part in &mut parts {
            part.parts = count;
        }
        parts
    }
}

impl Announcement {
    /// The same in parts of at most [`MAX_PART_BYTES`] bytes.
    pub fn into_parts(self) -> Vec<Announcement> {
        const FLOWS_PER_PART: usize = (MAX_PART_BYTES - PART_OVERHEAD_BYTES) / 8;
        let mut requests = self.requests.into_iter();
        let mut parts = Vec::new();
        for flows in self.flows.chunks(FLOWS_PER_PART) {
            let (target, flows) = (self.target.clone(), flows.to_vec());
            parts.push(Announcement { target, flows, requests: Vec::new() });
        }
        while requests.len() > 0 {
            let mut free_bytes = MAX_PART_BYTES - PART_OVERHEAD_BYTES;
            let requests = take_fitting(&mut requests, &mut free_bytes);
            parts.push(Announcement { target: self.target.clone(), flows: Vec::new(), requests });
        }
        parts
    }
}
