//! The flow table of one instance.

use mustardway_types::time::{Instant, Span};
use rustc_hash::FxHashMap;

use crate::measurement::Measurement;
use crate::observation::RESPONSE_TIMEOUT;
use crate::packet::Flow;

/// Maximum number of flows in the table: 160 bytes each, less than 7 MB in total.
/// Other flows are still forwarded by their tokens.
const FLOWS_MAX: usize = 40_000;
/// Time for which a flow is kept after it ended, to recognise copies of its last
/// packets.
const ENDED_RETENTION: Span = Span::seconds(5);
/// Maximum time without packets after which a flow is removed. The configuration may
/// set a shorter time.
const IDLE_TIMEOUT_MAX: Span = Span::seconds(60);

/// Number of bytes that a caller sends on one flow at most.
pub(crate) const SENT_MAX_BYTES: u32 = 1 << 24;

/// The stage of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The caller has not yet shown that it received the target's answer.
    Opening,
    /// Both ends have established the flow.
    Open,
    /// The caller has no more data to send.
    Ended,
}

/// The state kept for one flow.
#[derive(Debug, Clone, Copy)]
pub struct Record {
    /// Directory index of the flow's target.
    pub target: usize,
    /// Stage of the flow.
    pub stage: Stage,
    /// Sequence number of the opening packet, if this instance saw it.
    pub opening: Option<u32>,
    /// Whether the opening packet may have been sent to several targets, any of which
    /// may have answered.
    pub is_ambiguous: bool,
    /// Time at which the flow was placed or first seen.
    pub placed: Instant,
    /// Time of the caller's last packet.
    pub last_packet: Instant,
    /// Sequence number of the first packet that this instance saw on the open flow.
    pub first: Option<u32>,
    /// Whether that packet carried data. A late answer may have come before data is sent.
    pub has_first_data: bool,
    /// Sequence number up to which the caller has received.
    pub acknowledged: u32,
    /// Sequence number of the end of the data that the caller has sent; none before
    /// the first data.
    pub sent_end: Option<u32>,
    /// Time since which a request waits for its answer.
    pub request_since: Option<Instant>,
    /// Times of the latest request.
    pub measurement: Measurement,
}

impl Record {
    /// Returns whether another target than the recorded one may hold the flow.
    pub fn may_be_elsewhere(&self, now: Instant) -> bool {
        if self.stage == Stage::Opening {
            // The caller may have sent a copy through another instance.
            return self.is_ambiguous || now.since(self.placed) >= RESPONSE_TIMEOUT;
        }
        // An instance that placed the flow sees the caller's first packet, which
        // carries the token of the target that answered first.
        self.is_ambiguous && self.opening.is_none()
    }

    /// Returns whether a packet with the given sequence number may belong to this flow rather
    /// than to another one of the same addresses.
    pub fn may_include(&self, sequence: u32) -> bool {
        self.opening.or(self.first).is_none_or(|known| {
            let distance = sequence.wrapping_sub(known).min(known.wrapping_sub(sequence));
            distance < SENT_MAX_BYTES
        })
    }

    /// Returns whether this instance saw the first packet after the opening packet with
    /// sequence number `opening`.
    pub fn has_seen_first_after(&self, opening: u32) -> bool {
        self.first == Some(opening.wrapping_add(1))
    }

    /// Returns whether this instance saw the caller acknowledge the first answer to the opening
    /// packet with sequence number `opening`, so that the recorded target holds the flow.
    pub fn has_seen_open(&self, opening: u32) -> bool {
        self.stage != Stage::Opening && self.has_seen_first_after(opening) && !self.has_first_data
    }

    /// Creates the record of a flow that was just placed or is seen for the first
    /// time.
    pub fn new(target: usize, stage: Stage, now: Instant) -> Self {
        Record {
            target,
            stage,
            opening: None,
            is_ambiguous: false,
            placed: now,
            last_packet: now,
            first: None,
            has_first_data: false,
            acknowledged: 0,
            sent_end: None,
            request_since: None,
            measurement: Measurement::default(),
        }
    }
}

/// The flow table.
#[derive(Debug, Default)]
pub struct Table {
    flows: FxHashMap<Flow, Record>,
}

impl Table {
    /// Returns the record of a flow, to update it.
    pub fn get_mut(&mut self, flow: &Flow) -> Option<&mut Record> {
        self.flows.get_mut(flow)
    }

    /// Returns the record of a flow.
    pub fn get(&self, flow: &Flow) -> Option<&Record> {
        self.flows.get(flow)
    }

    /// Adds a flow unless the table is full. Returns whether it was added.
    pub fn insert(&mut self, flow: Flow, record: Record) -> bool {
        if self.flows.len() >= FLOWS_MAX {
            return false;
        }
        self.flows.insert(flow, record);
        true
    }

    /// Removes a flow and returns its record.
    pub fn remove(&mut self, flow: &Flow) -> Option<Record> {
        self.flows.remove(flow)
    }

    /// Returns the flows of a target that have not ended.
    pub fn active_flows_of(&self, target: usize) -> Vec<(Flow, Record)> {
        let mut flows = Vec::new();
        for (flow, record) in &self.flows {
            if record.target == target && record.stage != Stage::Ended {
                flows.push((*flow, *record));
            }
        }
        flows.sort_unstable_by_key(|(flow, _)| *flow);
        flows
    }

    /// Returns the flows that have expired.
    pub fn expired(&self, idle_timeout: Option<Span>, now: Instant) -> Vec<Flow> {
        let idle_timeout = idle_timeout
            .map_or(IDLE_TIMEOUT_MAX, |idle_timeout| idle_timeout.min(IDLE_TIMEOUT_MAX));
        let mut expired = Vec::new();
        for (flow, record) in &self.flows {
            let timeout = if record.stage == Stage::Open { idle_timeout } else { ENDED_RETENTION };
            if now.since(record.last_packet) >= timeout {
                expired.push(*flow);
            }
        }
        expired.sort_unstable();
        expired
    }

    /// Returns all flows, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&Flow, &Record)> {
        self.flows.iter()
    }

    /// Returns the number of flows in the table.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
