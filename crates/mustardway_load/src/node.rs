//! The state machine of one instance.
//!
//! Samples are summed up and sent to the parent in the tree, together with the sums of
//! the children. The root turns them into estimates and sends these down the tree.

use std::collections::{BTreeMap, VecDeque};

use mustardway_types::time::{Instant, Span};
use mustardway_types::{hash, instance};

use crate::estimate::Estimates;
use crate::key;
use crate::message::{Body, ENTRIES_MAX, Message, Report, RouteEstimate, Summary};
use crate::message::{TargetEstimate, from_millis, to_factor_millis};
use crate::sample::Sample;
use crate::sums::{self, Sums};
use crate::topology::Topology;
use crate::view::{TargetLoad, USUAL, View};

/// Time between two reports, and between two summaries.
pub const INTERVAL: Span = Span::millis(500);
/// Number of summaries in an epoch, which then lasts about a second: callers that were
/// refused retry at once, and get the same verdict within an epoch.
const SUMMARIES_PER_EPOCH: u64 = 2;
/// Age of the latest summary from which on an instance uses its own samples alone.
pub const SUMMARY_AGE_MAX: Span = Span::seconds(3);
/// Time for which the estimate of a target is kept without being sent again: the time in
/// which all targets of the largest service are sent in turn, with a margin.
const ESTIMATE_RETENTION: Span = Span::seconds(30);
/// Time for which the number of open flows that a peer has reported counts.
const FLOWS_RETENTION: Span = Span::millis(1_500);
/// Relative change of an estimate that is sent at once.
const NOTABLE_CHANGE: f64 = 0.1;
/// Number of latest answers by which an instance judges whether it is slow itself.
const OWN_RATIOS: usize = 16;
/// Lower quartile of the ratios of the latest answers above which an instance takes
/// itself to be slow. Even if half of the targets are slow, a quarter of the answers is
/// not.
const OWN_QUARTILE_MAX: f64 = 2.0;
/// Seed of the hash of contributors.
const CONTRIBUTOR_SEED: u64 = 0x6c6f_6164_0000_0004;

/// Input of a [`Node`] other than samples.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed. A tick is due at least every 50 ms.
    Tick,
    /// A message arrived from a peer.
    Received {
        /// Peer that sent the message.
        from: instance::Id,
        /// The message.
        message: Message,
    },
    /// The live instances have changed.
    Topology(Topology),
    /// The process did not run for a while.
    Paused,
}

/// Output of a [`Node`].
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to a peer. The message may be lost.
    Send {
        /// Peer to send the message to.
        to: instance::Id,
        /// The message.
        message: Message,
    },
    /// The view has changed.
    Updated,
}

/// Numbers of messages since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
    /// Messages that were ignored, since a value was out of range or the content unknown.
    pub ignored: u64,
}

/// Open flows by route.
type Flows = BTreeMap<key::Route, u32>;

/// State machine of one instance.
#[derive(Debug)]
pub struct Node {
    contributor: u64,
    topology: Topology,
    /// Samples of this instance since the latest report.
    own: Sums,
    own_flows: Flows,
    /// Sums of this instance and its children that are to be sent.
    pending: Sums,
    peer_flows: BTreeMap<instance::Id, (Instant, Flows)>,
    /// Estimates from the samples of this instance, and at a root from all sums.
    estimates: Estimates,
    /// Ratios of the latest answers to the usual times of their routes.
    own_ratios: VecDeque<f64>,
    view: View,
    /// Number of the latest summary.
    summary: u64,
    /// Slowness and share of short answers as last sent, at a root.
    sent: BTreeMap<key::Target, (f64, f64)>,
    /// Key after which the next targets are sent in turn.
    next_in_turn: key::Target,
    next_report: Instant,
    counts: Counts,
}

impl Node {
    /// Creates the node of the instance `me`, which is alone at first.
    pub fn new(me: &instance::Id, now: Instant) -> Self {
        let hash = hash::seeded(CONTRIBUTOR_SEED, me.as_str().as_bytes());
        Node {
            contributor: 1 << (hash % u64::from(u64::BITS)),
            topology: Topology { members: 1, ..Topology::default() },
            own: Sums::default(),
            own_flows: Flows::new(),
            pending: Sums::default(),
            peer_flows: BTreeMap::new(),
            estimates: Estimates::default(),
            own_ratios: VecDeque::new(),
            view: View::default(),
            summary: 0,
            sent: BTreeMap::new(),
            next_in_turn: key::Target(0),
            next_report: now + Span(hash % INTERVAL.0),
            counts: Counts::default(),
        }
    }

    /// Returns the estimates.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the numbers of messages.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the topology.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Records what a packet showed.
    pub fn record(&mut self, sample: &Sample) {
        let usual = match sample {
            Sample::Answered(answer) => self.base_time(answer.route),
            _ => None,
        };
        if let Sample::Answered(answer) = sample
            && let Some(ratio) = sums::ratio(answer, usual)
        {
            self.own_ratios.push_back(ratio);
            if self.own_ratios.len() > OWN_RATIOS {
                self.own_ratios.pop_front();
            }
        }
        self.own.record(sample, usual, self.contributor);
    }

    /// Sets the numbers of open flows at this instance.
    pub fn set_flows(&mut self, flows: BTreeMap<key::Route, u32>) {
        self.own_flows = flows;
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {
                if now >= self.next_report {
                    self.next_report = now + INTERVAL;
                    self.report(now, actions);
                }
            }
            Event::Received { from, message } => self.receive(from, message, now, actions),
            Event::Topology(topology) => self.set_topology(topology, now),
            Event::Paused => self.forget(),
        }
    }

    fn base_time(&self, route: key::Route) -> Option<Span> {
        let known = self.view.route(route).map(|load| load.base_time);
        known.filter(|base| *base > Span::ZERO).or_else(|| self.estimates.base_time(route))
    }

    /// Drops what was collected before a pause: its rates and times include the pause.
    fn forget(&mut self) {
        self.own = Sums::default();
        self.pending = Sums::default();
        self.own_ratios.clear();
        self.peer_flows.clear();
    }

    /// A new root goes on with the estimates of the one before.
    fn set_topology(&mut self, topology: Topology, now: Instant) {
        if topology.is_root() && !self.topology.is_root() {
            for (key, load) in &self.view.targets {
                self.estimates.inherit_target(*key, load, now);
            }
            for (key, load) in &self.view.routes {
                self.estimates.inherit_route(*key, load);
            }
        }
        self.topology = topology;
    }

    fn report(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut own = std::mem::take(&mut self.own);
        if self.is_slow_itself() {
            own.remove_speeds();
        }
        self.estimates.record(&own, now);
        self.pending.add(&own);
        self.peer_flows.retain(|_, (at, _)| now.since(*at) < FLOWS_RETENTION);
        let flows = self.domain_flows();
        let mut sums = self.pending.take(ENTRIES_MAX, ENTRIES_MAX);
        for (route, count) in &flows {
            if sums.routes.len() < ENTRIES_MAX || sums.routes.contains_key(route) {
                sums.routes.entry(*route).or_default().flows = *count;
            }
        }
        let receivers: Vec<instance::Id> = match &self.topology.parent {
            Some(parent) => vec![parent.clone()],
            None => self.topology.roots.clone(),
        };
        if !sums.is_empty() {
            let report = Report::new(&sums, self.topology.is_root());
            for to in receivers {
                self.send(to, Body::Report(report.clone()), actions);
            }
        }
        if self.topology.is_root() {
            self.summarise(now, actions);
        } else if self.view.age(now).is_none_or(|age| age >= SUMMARY_AGE_MAX) {
            self.use_own_samples(now);
            actions.push(Action::Updated);
        }
    }

    /// Returns whether all targets look slow from here.
    fn is_slow_itself(&self) -> bool {
        let mut ratios: Vec<f64> = self.own_ratios.iter().copied().collect();
        if ratios.len() < OWN_RATIOS / 2 {
            return false;
        }
        ratios.sort_unstable_by(f64::total_cmp);
        ratios.get(ratios.len() / 4).is_some_and(|quartile| *quartile > OWN_QUARTILE_MAX)
    }

    /// Returns the open flows at this instance and below it in the tree.
    fn domain_flows(&self) -> Flows {
        let mut flows = self.own_flows.clone();
        for (peer, (_, reported)) in &self.peer_flows {
            if self.topology.roots.contains(peer) {
                continue;
            }
            add_flows(&mut flows, reported);
        }
        flows
    }

    /// Estimates from all sums, and sends the estimates down the tree.
    fn summarise(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut flows = self.own_flows.clone();
        for (_, reported) in self.peer_flows.values() {
            add_flows(&mut flows, reported);
        }
        let loads = self.estimates.targets(self.topology.members, now);
        self.view.targets = notable(&loads);
        self.view.routes = self.estimates.routes(&flows, now);
        self.view.spread = self.estimates.spread();
        self.summary += 1;
        self.view.updated = Some(now);
        self.view.epoch = self.summary / SUMMARIES_PER_EPOCH;
        let mut summary = Summary {
            number: self.summary,
            spread_millis: to_factor_millis(self.view.spread),
            targets: self.choose_targets(),
            routes: Vec::new(),
        };
        for (key, load) in self.view.routes.iter().take(ENTRIES_MAX) {
            summary.routes.push(RouteEstimate::new(*key, load));
        }
        self.send_summary(&summary, actions);
        actions.push(Action::Updated);
    }

    /// Chooses the targets of the next summary: those whose estimates have changed, and then
    /// the other notable ones in turn.
    fn choose_targets(&mut self) -> Vec<TargetEstimate> {
        let mut chosen = Vec::new();
        let was_sent: Vec<key::Target> = self.sent.keys().copied().collect();
        for key in was_sent {
            if self.view.targets.contains_key(&key) || chosen.len() >= ENTRIES_MAX {
                continue;
            }
            self.sent.remove(&key);
            chosen.push(entry(key, USUAL, 0.0));
        }
        let mut loads: BTreeMap<key::Target, TargetLoad> = BTreeMap::new();
        loads.extend(self.view.targets.iter().map(|(key, load)| (*key, *load)));
        for (key, load) in &loads {
            if chosen.len() >= ENTRIES_MAX {
                return chosen;
            }
            let is_unchanged = self.sent.get(key).is_some_and(|(slowness, short)| {
                (load.slowness / slowness - 1.0).abs() <= NOTABLE_CHANGE
                    && (load.short_share - short).abs() <= NOTABLE_CHANGE
            });
            if is_unchanged {
                continue;
            }
            self.sent.insert(*key, (load.slowness, load.short_share));
            chosen.push(entry(*key, load.slowness, load.short_share));
        }
        let free = ENTRIES_MAX - chosen.len();
        let start = self.next_in_turn;
        let in_turn = loads.range(start..).chain(loads.range(..start)).take(free);
        for (key, load) in in_turn {
            self.next_in_turn = key::Target(key.0.wrapping_add(1));
            chosen.push(entry(*key, load.slowness, load.short_share));
        }
        chosen
    }

    /// Replaces the estimates by those from this instance's own samples.
    fn use_own_samples(&mut self, now: Instant) {
        let loads = self.estimates.targets(1, now);
        self.view.targets = notable(&loads);
        self.view.routes = self.estimates.routes(&self.own_flows, now);
        self.view.spread = self.estimates.spread();
    }

    fn receive(
        &mut self,
        from: instance::Id,
        message: Message,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.counts.received += 1;
        match message.body {
            Some(Body::Report(report)) => self.take_report(from, &report, now),
            Some(Body::Summary(summary)) if summary.is_valid() => {
                self.take_summary(summary, now, actions);
            }
            _ => self.counts.ignored += 1,
        }
    }

    fn take_report(&mut self, from: instance::Id, report: &Report, now: Instant) {
        let Some(sums) = report.decode() else {
            self.counts.ignored += 1;
            return;
        };
        // A root whose list of live instances differs sends its domain's sums to an instance
        // that is no root. They would come back to it as sums of another domain.
        if report.is_domain && !self.topology.is_root() {
            return;
        }
        let flows = sums.routes.iter().map(|(key, sums)| (*key, sums.flows)).collect();
        self.peer_flows.insert(from, (now, flows));
        if self.topology.is_root() {
            self.estimates.record(&sums, now);
        }
        if !report.is_domain {
            self.pending.add(&sums);
        }
    }

    fn take_summary(&mut self, summary: Summary, now: Instant, actions: &mut Vec<Action>) {
        let is_stale = self.view.age(now).is_none_or(|age| age >= SUMMARY_AGE_MAX);
        // Instances with different lists of live instances may be each other's children.
        if self.topology.is_root() || (summary.number <= self.summary && !is_stale) {
            return;
        }
        if is_stale {
            self.view.targets.clear();
        }
        self.summary = summary.number;
        self.view.epoch = summary.number / SUMMARIES_PER_EPOCH;
        self.view.updated = Some(now);
        self.view.spread = from_millis(u64::from(summary.spread_millis));
        self.view.routes.clear();
        for entry in &summary.routes {
            self.view.routes.insert(key::Route(entry.key), entry.load());
        }
        for entry in &summary.targets {
            let load = TargetLoad {
                slowness: from_millis(u64::from(entry.slowness_millis)),
                short_share: from_millis(u64::from(entry.short_millis)),
                updated: now,
            };
            if load.is_notable() {
                self.view.targets.insert(key::Target(entry.key), load);
            } else {
                self.view.targets.remove(&key::Target(entry.key));
            }
        }
        self.view.targets.retain(|_, load| now.since(load.updated) < ESTIMATE_RETENTION);
        self.send_summary(&summary, actions);
        actions.push(Action::Updated);
    }

    fn send_summary(&mut self, summary: &Summary, actions: &mut Vec<Action>) {
        for to in self.topology.children.clone() {
            self.send(to, Body::Summary(summary.clone()), actions);
        }
    }

    fn send(&mut self, to: instance::Id, body: Body, actions: &mut Vec<Action>) {
        self.counts.sent += 1;
        actions.push(Action::Send { to, message: body.into() });
    }
}

fn add_flows(flows: &mut Flows, other: &Flows) {
    for (route, count) in other {
        let sum = flows.entry(*route).or_default();
        *sum = sum.saturating_add(*count);
    }
}

/// Returns the targets with notable estimates.
fn notable(loads: &[(key::Target, TargetLoad)]) -> rustc_hash::FxHashMap<key::Target, TargetLoad> {
    loads.iter().copied().filter(|(_, load)| load.is_notable()).collect()
}

fn entry(key: key::Target, slowness: f64, short_share: f64) -> TargetEstimate {
    TargetEstimate {
        key: key.0,
        slowness_millis: to_factor_millis(slowness),
        short_millis: to_factor_millis(short_share),
    }
}
