//! What a target received and ran.

use std::collections::{HashMap, HashSet};

use compact_str::CompactString;
use mustardway_types::packet::Header;
use mustardway_types::request::Repeat;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::payload::Key;

/// Length of one bin of the rates, in milliseconds.
pub const BIN_MILLIS: u64 = 100;

/// Totals of one target.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Summary {
    /// Name of the target.
    pub name: CompactString,
    /// Packets received.
    pub packets: u64,
    /// Packets that opened a flow.
    pub openings: u64,
    /// Flows opened and not closed.
    pub flows: u64,
    /// Requests begun.
    pub runs: u64,
    /// Requests finished.
    pub finished: u64,
    /// Calls that the other side dropped.
    pub cancelled: u64,
    /// Requests refused before running.
    pub refused: u64,
    /// Requests whose deadline passed in the queue.
    pub expired: u64,
    /// Runs of requests that may not be repeated, beyond the first.
    pub doubles: u64,
    /// Runs of idempotent requests, beyond the first.
    pub repeats: u64,
    /// Packets for an address of another service.
    pub wrong_service: u64,
    /// Packets of a flow that was never opened here, or was lost in a fall.
    pub unknown_flows: u64,
    /// Greatest number of requests held at one time.
    pub in_flight_max: u32,
    /// Requests that came when it held all that it bears.
    pub overloads: u64,
    /// The same, while it was cold.
    pub cold_overloads: u64,
    /// Greatest load against what it bore, while cold.
    pub cold_load_max: f64,
    /// Times that it fell over.
    pub falls: u64,
    /// When the last packet came, in milliseconds since the Unix epoch.
    pub last_packet_millis: u64,
    /// When the last opening packet came, likewise.
    pub last_opening_millis: u64,
}

/// One run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Run {
    /// Flow id.
    pub flow: u64,
    /// Request id.
    pub request: u64,
    /// Part, from 0.
    pub part: u32,
    /// Attempt of the caller.
    pub attempt: u32,
    /// Whether it may not be repeated.
    pub once: bool,
    /// When it began, in milliseconds since the Unix epoch.
    pub start_millis: u64,
    /// When it ended; `None` while it runs or when it was cut.
    pub end_millis: Option<u64>,
}

impl Run {
    /// What it answers.
    pub fn key(&self) -> Key {
        Key { flow: self.flow, request: self.request, part: self.part }
    }
}

/// Totals, runs and open flows.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    pub(super) summary: Summary,
    pub(super) runs: Vec<Run>,
    run_counts: HashMap<Key, u32>,
    open_flows: HashSet<u64>,
    known_flows: HashSet<u64>,
}

impl Ledger {
    /// Enters a packet.
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

    /// Whether the flow of a packet is opened by it, or was opened here before.
    pub(super) fn knows_flow(&self, header: &Header) -> bool {
        header.opening || self.known_flows.contains(&header.flow.0)
    }

    /// Loses every flow.
    pub(super) fn clear_flows(&mut self) {
        self.open_flows.clear();
        self.known_flows.clear();
    }

    /// Enters the begin of a run; returns its index.
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

    /// Enters the end of a run.
    pub(super) fn record_end(&mut self, index: usize, header: &Header) {
        self.runs[index].end_millis = Some(clock::now_millis());
        self.summary.finished += 1;
        if header.closing {
            self.open_flows.remove(&header.flow.0);
        }
    }

    /// The totals now.
    pub(super) fn summary(&self) -> Summary {
        Summary { flows: self.open_flows.len() as u64, ..self.summary.clone() }
    }
}
