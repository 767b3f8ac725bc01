//! Targets: requests in slots and queues, flows, and how they end.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use mustardway_mirror::publication::{Item, Registration};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, service, target};

/// Connections for probes that a target takes within [`ACCEPT_WINDOW`].
const PROBE_CONNECTIONS_MAX: u32 = 16;
/// Window in which those are counted.
const PROBE_WINDOW: Span = Span::millis(10);

/// What a target does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Works on it.
    Run,
    /// Lets it wait.
    Queue,
    /// Turns it away.
    Reject,
}

/// A request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    Waiting,
    Running,
    Answered,
}

/// A flow at a target: the latest request on it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Flow {
    pub(crate) request: Option<(usize, Stage)>,
}

/// One target.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: target::Id,
    pub(crate) key: u64,
    pub(crate) service: usize,
    pub(crate) domain: usize,
    pub(crate) alive: bool,
    /// Once ended it does not answer at all.
    pub(crate) is_silent: bool,
    /// Part of its requests that it leaves unanswered.
    pub(crate) unanswered_share: f64,
    /// Another target has started at its address.
    pub(crate) is_replaced: bool,
    pub(crate) incarnation: u32,
    pub(crate) leaving_since: Option<Instant>,
    pub(crate) cold_until: Instant,
    pub(crate) slowdown: f64,
    pub(crate) running: u32,
    pub(crate) queue: VecDeque<(u32, usize)>,
    pub(crate) flows: BTreeMap<u32, Flow>,
    /// When it last started or ended.
    pub(crate) changed_at: Instant,
    /// Opening packets while it was cold.
    pub(crate) cold_arrivals: VecDeque<Instant>,
    probe_connections: (Instant, u32),
}

impl Server {
    pub(crate) fn new(index: usize, service: usize, domain: usize, now: Instant) -> Self {
        let key = index as u64 + 1;
        Server {
            id: format!("t-{key:08x}").parse().expect("a name by its form"),
            key,
            service,
            domain,
            alive: true,
            is_silent: false,
            unanswered_share: 0.0,
            is_replaced: false,
            incarnation: 0,
            leaving_since: None,
            cold_until: now,
            slowdown: 1.0,
            running: 0,
            queue: VecDeque::new(),
            flows: BTreeMap::new(),
            changed_at: now,
            cold_arrivals: VecDeque::new(),
            probe_connections: (now, 0),
        }
    }

    /// The name of the target, as its address shows it: each has its own.
    pub(crate) fn address(&self) -> SocketAddrV4 {
        let [.., third, fourth] = (self.key as u32).to_be_bytes();
        SocketAddrV4::new(Ipv4Addr::new(10, 128, third, fourth), 8_080)
    }

    /// What it says of itself.
    pub(crate) fn registration(
        &self,
        service: &service::Name,
        domain: &domain::Name,
        slots: u32,
        now: Instant,
    ) -> Item {
        Item::Target(Registration {
            id: self.id.clone(),
            key: self.key,
            service: service.clone(),
            address: self.address(),
            domain: domain.clone(),
            slots,
            leaving: self.leaving_since.is_some(),
            cold: self.cold_until.since(now),
            born: Some(u64::from(self.incarnation)),
        })
    }

    /// Ends without notice.
    pub(crate) fn crash(&mut self, is_silent: bool, now: Instant) {
        self.alive = false;
        self.is_silent = is_silent;
        self.changed_at = now;
        self.flows.clear();
        self.queue.clear();
        self.running = 0;
    }

    /// Starts anew.
    pub(crate) fn start(&mut self, cold: Span, now: Instant) {
        self.alive = true;
        self.incarnation += 1;
        self.changed_at = now;
        self.leaving_since = None;
        self.cold_until = now + cold;
    }

    /// Takes a request on a flow that it holds.
    pub(crate) fn admit(
        &mut self,
        flow: u32,
        request: usize,
        slots: u32,
        queue: usize,
    ) -> Admission {
        let admission = if self.running < slots {
            self.running += 1;
            Admission::Run
        } else if self.queue.len() < queue {
            self.queue.push_back((flow, request));
            Admission::Queue
        } else {
            return Admission::Reject;
        };
        let stage = if admission == Admission::Run { Stage::Running } else { Stage::Waiting };
        self.flows.insert(flow, Flow { request: Some((request, stage)) });
        admission
    }

    /// Whether a connection for a probe is taken.
    pub(crate) fn accept_probe(&mut self, now: Instant) -> bool {
        if now.since(self.probe_connections.0) >= PROBE_WINDOW {
            self.probe_connections = (now, 0);
        }
        self.probe_connections.1 += 1;
        self.probe_connections.1 <= PROBE_CONNECTIONS_MAX
    }
}
