//! Flows seen here.

use mustardway_types::time::{Instant, Span};
use rustc_hash::FxHashMap;

use crate::packet::Flow;

/// Most flows that are remembered: 96 bytes each, under 4 MB together. Others
/// are still forwarded by their tokens.
const FLOWS_MAX: usize = 40_000;
/// How long a flow that ended is remembered, for copies of its last packets.
const ENDED_RETENTION: Span = Span::seconds(5);
/// Silence after which a flow is forgotten, unless the configuration says less.
const IDLE_TIMEOUT_MAX: Span = Span::seconds(60);

/// How far a flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The caller has not yet shown that it heard the target.
    Opening,
    /// Both ends know of each other.
    Open,
    /// The caller has nothing more to send.
    Ended,
}

/// What is remembered of one flow.
#[derive(Debug, Clone, Copy)]
pub struct Record {
    /// Place of its target in the directory.
    pub target: usize,
    /// How far it has come.
    pub stage: Stage,
    /// Sequence of its opening packet, where that was seen.
    pub opening: Option<u32>,
    /// An earlier target did not answer its opening packet, and may do so yet.
    pub is_retried: bool,
    /// When it was placed, or first seen.
    pub placed: Instant,
    /// When the caller last sent something.
    pub last_packet: Instant,
    /// Position up to which the caller has received.
    pub acknowledged: u32,
    /// End of what the caller has sent; none before the first data.
    pub sent_end: Option<u32>,
    /// Since when a request waits for its answer.
    pub request_since: Option<Instant>,
}

impl Record {
    /// A flow that was just placed, or is seen for the first time.
    pub fn new(target: usize, stage: Stage, now: Instant) -> Self {
        Record {
            target,
            stage,
            opening: None,
            is_retried: false,
            placed: now,
            last_packet: now,
            acknowledged: 0,
            sent_end: None,
            request_since: None,
        }
    }
}

/// Flows seen here.
#[derive(Debug, Default)]
pub struct Table {
    flows: FxHashMap<Flow, Record>,
}

impl Table {
    /// What is remembered of a flow.
    pub fn get_mut(&mut self, flow: &Flow) -> Option<&mut Record> {
        self.flows.get_mut(flow)
    }

    /// What is remembered of a flow.
    pub fn get(&self, flow: &Flow) -> Option<&Record> {
        self.flows.get(flow)
    }

    /// Remembers a flow; whether there was room.
    pub fn insert(&mut self, flow: Flow, record: Record) -> bool {
        if self.flows.len() >= FLOWS_MAX {
            return false;
        }
        self.flows.insert(flow, record);
        true
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: &Flow) -> Option<Record> {
        self.flows.remove(flow)
    }

    /// Flows of a target that have not ended.
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

    /// Flows that need not be remembered any longer.
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

    /// Flows remembered.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is remembered.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
