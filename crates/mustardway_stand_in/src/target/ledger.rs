//! Ledger of the packets that a target received and the requests that it ran.

use std::collections::{HashMap, HashSet};

use compact_str::CompactString;
use mustardway_types::packet::Header;
use mustardway_types::request::Repeat;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::payload::Key;

/// Width of one bin of request rates, in milliseconds.
pub const BIN_MILLIS: u64 = 100;

/// Totals of one target since its start.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Summary {
    /// Name of the target.
    pub name: CompactString,
    /// Packets received.
    pub packets: u64,
    /// Packets that opened a flow.
    pub openings: u64,
    /// Open flows.
    pub flows: u64,
    /// Runs started.
    pub runs: u64,
    /// Runs finished.
    pub finished: u64,
    /// Calls that the client dropped.
    pub cancelled: u64,
    /// Requests refused before running.
    pub refused: u64,
    /// Requests whose deadline passed in the queue.
    pub expired: u64,
    /// Runs beyond the first of requests that may not be repeated.
    pub doubles: u64,
    /// Runs beyond the first of idempotent requests.
    pub repeats: u64,
    /// Packets addressed to another service.
    pub wrong_service: u64,
    /// Packets of flows that were never opened at this target or were lost in a crash.
    pub unknown_flows: u64,
    /// Maximum number of requests in flight, running or queued.
    pub in_flight_max: u32,
    /// Requests that exceeded the capacity on arrival.
    pub overloads: u64,
    /// Requests that exceeded the capacity on arrival during warm-up.
    pub cold_overloads: u64,
    /// Maximum ratio of load to capacity during warm-up.
    pub cold_load_max: f64,
    /// Number of crashes.
    pub falls: u64,
    /// Arrival of the last packet, in milliseconds since the Unix epoch.
    pub last_packet_millis: u64,
    /// Arrival of the last opening packet, in milliseconds since the Unix epoch.
    pub last_opening_millis: u64,
}

/// One run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Run {
    /// Id of the flow.
    pub flow: u64,
    /// Id of the request within the flow.
    pub request: u64,
    /// Index of the part, from 0.
    pub part: u32,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Whether the request may run at most once.
    pub once: bool,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub start_millis: u64,
    /// End of the run, in milliseconds since the Unix epoch; `None` while it runs or
    /// when it was aborted.
    pub end_millis: Option<u64>,
}

impl Run {
    /// Returns the key of the request part that ran.
    pub fn key(&self) -> Key {
        Key { flow: self.flow, request: self.request, part: self.part }
    }
}

/// Totals, runs and flows of one target.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    pub(super) summary: Summary,
    pub(super) runs: Vec<Run>,
    run_counts: HashMap<Key, u32>,
    open_flows: HashSet<u64>,
    known_flows: HashSet<u64>,
}

impl Ledger {
    /// Records a received packet.
    pub(super) fn record_packet(&mut self, header: &Header, is_own_service: bool) {
        let now = clock::now_millis();
        self.summary.packets += 1;
        self.summary.last_packet_millis = now;
        if !is_own_service {
            self.summary.wrong_service += 1;
        }
        if header.opening {
            self.summary.openings += 1;
            self.summary.last_opening_millis = now;
        }
    }

    /// Returns whether the packet opens its flow or the flow was opened at this target before.
    pub(super) fn knows_flow(&self, header: &Header) -> bool {
        header.opening || self.known_flows.contains(&header.flow.0)
    }

    /// Removes every flow.
    pub(super) fn clear_flows(&mut self) {
        self.open_flows.clear();
        self.known_flows.clear();
    }

    /// Records the start of a run and returns its index.
    pub(super) fn record_start(&mut self, header: &Header) -> usize {
        let once = header.repeat == Repeat::Once;
        let run = Run {
            flow: header.flow.0,
            request: header.request.0,
            part: header.part,
            attempt: header.attempt,
            once,
            start_millis: clock::now_millis(),
            end_millis: None,
        };
        let run_count = self.run_counts.entry(run.key()).or_default();
        *run_count += 1;
        if *run_count > 1 {
            match once {
                true => self.summary.doubles += 1,
                false => self.summary.repeats += 1,
            }
        }
        self.open_flows.insert(run.flow);
        self.known_flows.insert(run.flow);
        self.summary.runs += 1;
        self.runs.push(run);
        self.runs.len() - 1
    }

    /// Records the end of a run.
    pub(super) fn record_end(&mut self, index: usize, header: &Header) {
        self.runs[index].end_millis = Some(clock::now_millis());
        self.summary.finished += 1;
        if header.closing {
            self.open_flows.remove(&header.flow.0);
        }
    }

    /// Returns the current totals.
    pub(super) fn summary(&self) -> Summary {
        Summary { flows: self.open_flows.len() as u64, ..self.summary.clone() }
    }
}
