//! Messages between owners and ingresses about a target.
//!
//! Times are sent as ages or as remaining times, in microseconds, because the
//! clocks of the instances differ. A long message is split into parts of at
//! most [`MAX_PART_BYTES`] bytes; the summary comes with the last part.

use bytes::Bytes;
use displaydoc::Display;
use prost::Message;

/// Maximum size of one part, in bytes.
pub const MAX_PART_BYTES: usize = 256 * 1_024;

/// Size reserved in a part for the fields around its records, in bytes.
const PART_OVERHEAD_BYTES: usize = 1_024;

/// Reason why a message was rejected.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// the message is about another target
    Target,
    /// the message has an invalid instance id
    Instance,
    /// the message has a request record without an ending
    Record,
    /// the announcement came after the end of the announcement period
    Late,
}

impl std::error::Error for Error {}

/// Outcome of a cached request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Ending {
    /// No outcome is given.
    Unspecified = 0,
    /// The request has not run.
    NotRun = 1,
    /// The request may have run.
    Unknown = 2,
    /// The request runs at the named instance.
    Running = 3,
    /// The request ran with the given reply.
    Done = 4,
}

/// One open flow.
#[derive(Clone, PartialEq, Message)]
pub struct Flow {
    /// Id of the flow.
    #[prost(fixed64, tag = "1")]
    pub flow: u64,
    /// Time since the flow was opened, in microseconds.
    #[prost(uint64, tag = "2")]
    pub opened: u64,
    /// Time since the last packet of the flow, in microseconds.
    #[prost(uint64, tag = "3")]
    pub used: u64,
    /// Whether a request of the flow may have run.
    #[prost(bool, tag = "4")]
    pub ran: bool,
    /// Whether all requests of the flow since its opening are known.
    #[prost(bool, tag = "5")]
    pub whole: bool,
}

/// One flow that was refused or placed on another target.
#[derive(Clone, PartialEq, Message)]
pub struct Placement {
    /// Id of the flow.
    #[prost(fixed64, tag = "1")]
    pub flow: u64,
    /// Target on which the flow was placed; empty if the opening packet was refused.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Refusal of the opening packet, if it was refused.
    #[prost(message, optional, tag = "3")]
    pub refusal: Option<Refusal>,
}

/// Refusal of an opening packet whose ingress has not reported a placement yet.
#[derive(Clone, PartialEq, Message)]
pub struct Refusal {
    /// Whether the target was full, as opposed to not taking new flows.
    #[prost(bool, tag = "1")]
    pub full: bool,
    /// Retry-after time for the caller, in microseconds.
    #[prost(uint64, tag = "2")]
    pub come_back: u64,
    /// Whether no request of the flow can have run before.
    #[prost(bool, tag = "3")]
    pub whole: bool,
    /// Whether the flow was refused only for balance.
    #[prost(bool, tag = "4")]
    pub soft: bool,
    /// Number of ingresses that were told of the refusal and have not reported a placement.
    #[prost(uint32, tag = "5")]
    pub open: u32,
}

/// One request that must run at most once.
#[derive(Clone, PartialEq, Message)]
pub struct Request {
    /// Id of the flow that carries the request.
    #[prost(fixed64, tag = "1")]
    pub flow: u64,
    /// Id of the request on its flow.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// Part of the answer that is requested.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Outcome of the request.
    #[prost(enumeration = "Ending", tag = "4")]
    pub ending: i32,
    /// Reply to the request.
    #[prost(bytes = "bytes", tag = "5")]
    pub reply: Bytes,
    /// Instance that runs the request.
    #[prost(string, tag = "6")]
    pub at: String,
    /// Remaining time until the deadline of the request, in microseconds.
    #[prost(uint64, tag = "7")]
    pub left: u64,
    /// Latest attempt that was told "not run".
    #[prost(uint32, tag = "8")]
    pub attempt: u32,
}

/// Requests that run at one instance at the time of the message.
#[derive(Clone, PartialEq, Message)]
pub struct Running {
    /// Instance that runs the requests.
    #[prost(string, tag = "1")]
    pub at: String,
    /// Remaining time until the deadline of each request, in microseconds.
    #[prost(uint64, repeated, tag = "2")]
    pub left: Vec<u64>,
}

/// State that a handover carries once, in its last part.
#[derive(Clone, PartialEq, Message)]
pub struct Summary {
    /// Time since which the history of requests is complete, as an age in microseconds.
    #[prost(uint64, tag = "1")]
    pub complete: u64,
    /// Level of the slow start, in slots.
    #[prost(double, tag = "2")]
    pub level: f64,
    /// Mean service time of a request, in microseconds.
    #[prost(double, optional, tag = "3")]
    pub service: Option<f64>,
    /// Mean service time of a request at a warm target, in microseconds.
    #[prost(double, optional, tag = "4")]
    pub baseline: Option<f64>,
    /// Remaining time for which the target is held at half of its slots, in microseconds.
    #[prost(uint64, tag = "5")]
    pub reduced: u64,
    /// Requests that still run at earlier owners.
    #[prost(message, repeated, tag = "6")]
    pub running: Vec<Running>,
    /// Words of the Bloom filter of dropped requests.
    #[prost(fixed64, repeated, tag = "7")]
    pub filter: Vec<u64>,
    /// Whether the health endpoint reports that the target does not serve.
    #[prost(bool, tag = "8")]
    pub unhealthy: bool,
}

/// State of a target, or a part of it, from its earlier owner to the next.
#[derive(Clone, PartialEq, Message)]
pub struct Handover {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Id of the earlier owner.
    #[prost(string, tag = "2")]
    pub from: String,
    /// Index of this part, from 0.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Number of parts; 0 in a message about requests that ended after the handover.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// Open flows.
    #[prost(message, repeated, tag = "5")]
    pub flows: Vec<Flow>,
    /// Flows that were refused or placed on another target.
    #[prost(message, repeated, tag = "6")]
    pub placements: Vec<Placement>,
    /// Requests that must run at most once.
    #[prost(message, repeated, tag = "7")]
    pub requests: Vec<Request>,
    /// Summary, in the last part only.
    #[prost(message, optional, tag = "8")]
    pub summary: Option<Summary>,
    /// Number of requests that ended since the handover.
    #[prost(uint32, tag = "9")]
    pub ended: u32,
    /// Ids of the flows that were closed since the handover.
    #[prost(fixed64, repeated, tag = "10")]
    pub closed: Vec<u64>,
}

/// State that an ingress knows about a target whose owner was lost.
#[derive(Clone, PartialEq, Message)]
pub struct Announcement {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Ids of the flows that are open on the target.
    #[prost(fixed64, repeated, tag = "2")]
    pub flows: Vec<u64>,
    /// Requests that were sent to the lost owner and got no answer. Only their ids are used.
    #[prost(message, repeated, tag = "3")]
    pub requests: Vec<Request>,
}

/// Takes records off the front of `all` as long as they fit into `free_bytes`.
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
    /// Splits the handover into parts of at most [`MAX_PART_BYTES`] bytes.
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
    /// Splits the announcement into parts of at most [`MAX_PART_BYTES`] bytes.
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
