//! Model of the targets: slots, queues, flows, crashes and restarts.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use mustardway_mirror::publication::{Item, Registration};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, service, target};

/// Maximum number of probe connections that a target accepts in one
/// [`PROBE_WINDOW`].
const PROBE_CONNECTIONS_MAX: u32 = 16;
/// Window in which a target counts probe connections.
const PROBE_WINDOW: Span = Span::millis(10);

/// The decision of a target on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Run the request now.
    Run,
    /// Queue the request.
    Queue,
    /// Reject the request because the queue is full.
    Reject,
}

/// The state of a request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    Waiting,
    Running,
    Answered,
}

/// The target's end of a flow, with the latest request on it and its state.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Flow {
    /// Whether the caller has acknowledged this target's answer to the opening packet.
    pub(crate) is_open: bool,
    pub(crate) request: Option<(usize, Stage)>,
}

/// A simulated target process. A restart keeps the id and starts a new incarnation.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: target::Id,
    /// Number that identifies the target on the wire.
    pub(crate) key: u64,
    pub(crate) service: usize,
    pub(crate) domain: usize,
    pub(crate) alive: bool,
    /// Whether connections go unanswered while the target is down. Otherwise they are
    /// refused.
    pub(crate) is_silent: bool,
    /// Share of the requests that the target leaves unanswered.
    pub(crate) unanswered_share: f64,
    /// Whether another target has started at this target's address.
    pub(crate) is_replaced: bool,
    /// Number of restarts.
    pub(crate) incarnation: u32,
    /// Time at which the target announced that it leaves.
    pub(crate) leaving_since: Option<Instant>,
    pub(crate) cold_until: Instant,
    /// Divisor of the service time of requests, for the whole life of the target.
    pub(crate) speed: f64,
    /// Factor on the service time of requests during a disruption.
    pub(crate) slowdown: f64,
    /// Number of requests that run now.
    pub(crate) running: u32,
    /// Flow and request of each queued request.
    pub(crate) queue: VecDeque<(u32, usize)>,
    pub(crate) flows: BTreeMap<u32, Flow>,
    /// Time at which the target last started, crashed or recovered from leaving
    /// requests unanswered.
    pub(crate) changed_at: Instant,
    /// Time at which the target last crashed, started after a crash or recovered.
    pub(crate) impaired_at: Instant,
    /// Times within the last second at which opening packets arrived while the target
    /// was cold.
    pub(crate) cold_arrivals: VecDeque<Instant>,
    /// Start of the current window and the probe connections counted in it.
    probe_connections: (Instant, u32),
}

impl Server {
    /// Creates a warm, running target.
    pub(crate) fn new(
        index: usize,
        service: usize,
        domain: usize,
        speed: f64,
        now: Instant,
    ) -> Self {
        let key = index as u64 + 1;
        Server {
            id: format!("t-{key:08x}").parse().expect("a generated target id is valid"),
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
            speed,
            slowdown: 1.0,
            running: 0,
            queue: VecDeque::new(),
            flows: BTreeMap::new(),
            changed_at: now,
            impaired_at: Instant::default(),
            cold_arrivals: VecDeque::new(),
            probe_connections: (now, 0),
        }
    }

    /// Returns the target's address, which is derived from its key and unique.
    pub(crate) fn address(&self) -> SocketAddrV4 {
        let [.., third, fourth] = (self.key as u32).to_be_bytes();
        SocketAddrV4::new(Ipv4Addr::new(10, 128, third, fourth), 8_080)
    }

    /// Returns the registration that the target publishes on the platform.
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

    /// Stops the target at once. All flows and requests are lost.
    pub(crate) fn crash(&mut self, is_silent: bool, now: Instant) {
        self.alive = false;
        self.is_silent = is_silent;
        self.changed_at = now;
        self.impaired_at = now;
        self.flows.clear();
        self.queue.clear();
        self.running = 0;
    }

    /// Starts the target as a new incarnation that is cold for `cold`.
    pub(crate) fn start(&mut self, cold: Span, now: Instant) {
        self.alive = true;
        self.incarnation += 1;
        self.changed_at = now;
        if self.impaired_at > Instant::default() {
            self.impaired_at = now;
        }
        self.leaving_since = None;
        self.cold_until = now + cold;
    }

    /// Runs, queues or rejects a request that arrived on a known flow.
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
        self.flows.insert(flow, Flow { is_open: true, request: Some((request, stage)) });
        admission
    }

    /// Counts a probe connection and returns whether it is accepted.
    pub(crate) fn accept_probe(&mut self, now: Instant) -> bool {
        if now.since(self.probe_connections.0) >= PROBE_WINDOW {
            self.probe_connections = (now, 0);
        }
        self.probe_connections.1 += 1;
        self.probe_connections.1 <= PROBE_CONNECTIONS_MAX
    }
}
