//! Table of the flows that are open on the target.
//!
//! Times are stored in units of 2^14 microseconds, so that a flow takes 16
//! bytes plus the overhead of the hash table. Opening times are rounded down.

use std::collections::HashMap;

use mustardway_types::{flow, time};

use crate::seeded;

/// Time without packets after which a flow is dropped.
pub const IDLE_TIMEOUT: time::Span = time::Span::seconds(2 * 3_600);

/// Time between two sweeps for idle flows.
const SWEEP_INTERVAL: time::Span = time::Span::seconds(60);

/// Number of low bits of a microsecond count that are dropped.
const UNIT_SHIFT: u32 = 14;

/// A time in units of 2^14 microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Coarse(u32);

impl Coarse {
    fn new(at: time::Instant) -> Self {
        Coarse(
            u32::try_from(at.0 >> UNIT_SHIFT).map_or(RAN_BIT - 1, |units| units.min(RAN_BIT - 1)),
        )
    }

    fn instant(self) -> time::Instant {
        time::Instant(u64::from(self.0) << UNIT_SHIFT)
    }
}

/// Bit that is set in the time of last use if a request of the flow may have run.
const RAN_BIT: u32 = 1 << 31;

/// Opening time and time of last use of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flow {
    opened: Coarse,
    used: Coarse,
}

impl Flow {
    /// Returns when the flow was opened here, rounded down, or time zero if that is not known.
    pub fn opened(&self) -> time::Instant {
        self.opened.instant()
    }

    /// Returns when the last packet of the flow came, rounded down.
    pub fn used(&self) -> time::Instant {
        Coarse(self.used.0 & !RAN_BIT).instant()
    }

    /// Returns whether all requests of the flow since its opening are known here.
    pub fn has_full_history(&self) -> bool {
        self.opened > Coarse(0)
    }

    /// Returns whether a request of the flow may have run.
    pub fn may_have_run(&self) -> bool {
        self.used.0 & RAN_BIT != 0
    }

    fn set_used(&mut self, now: time::Instant, ran: bool) {
        let ran = if ran || self.may_have_run() { RAN_BIT } else { 0 };
        self.used = Coarse(Coarse::new(now).0 | ran);
    }
}

/// Open flows by id.
#[derive(Debug)]
pub struct Table {
    flows: HashMap<flow::Id, Flow, seeded::Builder>,
    last_sweep: time::Instant,
}

impl Table {
    /// Creates an empty table that hashes under `seed`.
    pub fn new(seed: u64) -> Self {
        let flows = HashMap::with_hasher(seeded::Builder(seed));
        Table { flows, last_sweep: time::Instant::default() }
    }

    /// Adds a flow that opens now. `full_history` says that all requests of the flow will be
    /// known here. A flow that is already in the table is not changed.
    pub fn open(&mut self, now: time::Instant, id: flow::Id, full_history: bool) {
        let now = Coarse::new(now);
        let opened = if full_history { now } else { Coarse(0) };
        self.flows.entry(id).or_insert(Flow { opened, used: now });
    }

    /// Adds a flow that was opened before. If the flow is already in the table, the earlier
    /// opening time is kept.
    pub fn restore(&mut self, id: flow::Id, opened: time::Instant, used: time::Instant, ran: bool) {
        let opened = Coarse::new(opened);
        let flow = self.flows.entry(id).or_insert(Flow { opened, used: Coarse(0) });
        flow.opened = flow.opened.min(opened);
        flow.set_used(used.max(flow.used()), ran);
    }

    /// Records a packet of a flow, and whether its request may have run.
    pub fn touch(&mut self, now: time::Instant, id: flow::Id, ran: bool) {
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.set_used(now, ran);
        }
    }

    /// Removes a flow and returns whether it was in the table.
    pub fn close(&mut self, id: flow::Id) -> bool {
        self.flows.remove(&id).is_some()
    }

    /// Removes all flows.
    pub fn clear(&mut self) {
        self.flows.clear();
    }

    /// Removes idle flows and returns their number. Does nothing within `SWEEP_INTERVAL` of the
    /// last sweep.
    pub fn sweep(&mut self, now: time::Instant) -> usize {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return 0;
        }
        self.last_sweep = now;
        let before = self.flows.len();
        self.flows.retain(|_, flow| now.since(flow.used()) < IDLE_TIMEOUT);
        before - self.flows.len()
    }

    /// Returns a flow, if it is open.
    pub fn get(&self, id: flow::Id) -> Option<&Flow> {
        self.flows.get(&id)
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether the table has no flow.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns all flows in the order of their ids.
    pub fn sorted(&self) -> Vec<(flow::Id, Flow)> {
        let mut all: Vec<_> = self.flows.iter().map(|(id, flow)| (*id, *flow)).collect();
        all.sort_unstable_by_key(|(id, _)| *id);
        all
    }
}
