//! The state machine of one instance.
//!
//! Samples are summed up and sent to the parent in the tree, together with the sums of
//! the children. The root turns them into estimates and sends these down the tree.

use std::collections::{BTreeMap, VecDeque};

use mustardway_types::time::{Instant, Span};
use mustardway_types::{hash, instance};

use crate::column::TargetEstimates;
use crate::estimate::Estimates;
use crate::flows;
use crate::key;
use crate::message::{Body, ENTRIES_MAX, Message, Report, RouteEstimate, Summary};
use crate::message::{from_millis, to_factor_millis};
use crate::sample::Sample;
use crate::schedule::Schedule;
use crate::sums::{self, Contributors, Sums};
use crate::topology::Topology;
use crate::view::{TargetLoad, View};

/// Time between two reports, and between two summaries.
pub const INTERVAL: Span = Span::millis(500);
/// Number of parts of an interval, one for the reports of each level of a tree. With a
/// fan-out of 4, instances of the fifth level exist in failure domains above 341.
const REPORT_STEPS: u64 = 5;
/// Number of summaries in an epoch, which then lasts about a second: callers that were
/// refused retry at once, and get the same verdict within an epoch.
const SUMMARIES_PER_EPOCH: u64 = 2;
/// Age of the latest summary from which on an instance uses its own samples alone.
pub const SUMMARY_AGE_MAX: Span = Span::seconds(3);
/// Time for which the estimate of a target is kept without being sent again: the time in
/// which all targets of the largest service are sent in turn, with a margin.
const ESTIMATE_RETENTION: Span = Span::seconds(30);
/// Number of summaries by which a former root may be behind its successor for its estimates
/// to be taken over: the successor may have heard of the number from others before.
const HANDOVER_LAG_MAX: u64 = 20;
/// Number of latest answers by which an instance judges whether it is slow itself.
const OWN_RATIOS: usize = 16;
/// Lower quartile of the ratios of the latest answers above which an instance takes
/// itself to be slow. Even if half of the targets are slow, a quarter of the answers is
/// not.
const OWN_QUARTILE_MAX: f64 = 2.0;
/// Number of latest answers that hold back the speeds until the next report if all are slow.
const SUSPECT_RATIOS: usize = 4;
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

/// State machine of one instance.
#[derive(Debug)]
pub struct Node {
    contributor: Contributors,
    topology: Topology,
    /// Samples of this instance since the latest report.
    own: Sums,
    flows: flows::Table,
    /// Sums of this instance and its children that are to be sent.
    pending: Sums,
    /// Estimates from the samples of this instance, and at a root from all sums.
    estimates: Estimates,
    /// Ratios of the latest answers to the usual times of their routes.
    own_ratios: VecDeque<f64>,
    /// Whether all targets have looked slow from here since the latest report.
    was_slow_itself: bool,
    view: View,
    /// Number of the latest summary.
    summary: u64,
    /// Targets of the next summaries, at a root.
    schedule: Schedule,
    next_report: Instant,
    counts: Counts,
}

impl Node {
    /// Creates the node of the instance `me`, which is alone at first.
    pub fn new(me: &instance::Id, now: Instant) -> Self {
        let hash = hash::seeded(CONTRIBUTOR_SEED, me.as_str().as_bytes());
        Node {
            contributor: Contributors::one(hash),
            topology: Topology { members: 1, ..Topology::default() },
            own: Sums::default(),
            flows: flows::Table::default(),
            pending: Sums::default(),
            estimates: Estimates::new(now),
            own_ratios: VecDeque::new(),
            was_slow_itself: false,
            view: View::default(),
            summary: 0,
            schedule: Schedule::default(),
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
        if let Sample::Answered(answer) = sample {
            match sums::ratio(answer, usual) {
                Some(ratio) => self.own_ratios.push_back(ratio),
                // The usual time is learned anew, which the earlier ratios do not apply to.
                None if usual.is_none() => self.own_ratios.clear(),
                None => {}
            }
            if self.own_ratios.len() > OWN_RATIOS {
                self.own_ratios.pop_front();
            }
            self.was_slow_itself |= self.is_slow_itself();
        }
        self.own.record(sample, usual, self.contributor);
    }

    /// Sets the numbers of open flows at this instance.
    pub fn set_flows(&mut self, flows: BTreeMap<key::Route, u32>) {
        self.flows.set_own(flows);
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {
                if now < self.next_report {
                    return;
                }
                // Ticks that come late must not make the interval longer: the rates rely on
                // one report from each peer between two updates.
                let next = self.next_report + INTERVAL;
                self.next_report = if next > now { next } else { now + INTERVAL };
                self.report(now, actions);
            }
            Event::Received { from, message } => self.receive(from, message, now, actions),
            Event::Topology(topology) => self.set_topology(topology, now, actions),
            Event::Paused => self.forget(now),
        }
    }

    fn base_time(&self, route: key::Route) -> Option<Span> {
        let known = self.view.route(route).map(|load| load.base_time);
        known.filter(|base| *base > Span::ZERO).or_else(|| self.estimates.base_time(route))
    }

    /// Drops what was collected before a pause: its rates and times include the pause.
    fn forget(&mut self, now: Instant) {
        self.estimates.skip(now);
        self.own = Sums::default();
        self.pending = Sums::default();
        self.own_ratios.clear();
        self.flows.clear_peers();
    }

    /// A new root goes on with the estimates of the one before. A root that gets a parent
    /// hands its estimates over.
    fn set_topology(&mut self, topology: Topology, now: Instant, actions: &mut Vec<Action>) {
        let was_root = self.topology.is_root();
        self.topology = topology;
        self.flows.retain_peers(&self.topology);
        match self.topology.parent.clone() {
            None if !was_root => {
                self.estimates.inherit(&self.view.targets, &self.view.routes, now);
                self.schedule.restart(&self.view.targets);
            }
            Some(parent) if was_root => {
                let mut summary = self.summary();
                let mut targets: Vec<_> =
                    self.view.targets.iter().map(|(key, load)| (*key, *load)).collect();
                targets.sort_unstable_by(|(first_key, first), (second_key, second)| {
                    second.slowness.total_cmp(&first.slowness).then(first_key.cmp(second_key))
                });
                targets.truncate(ENTRIES_MAX);
                summary.targets = Some(TargetEstimates::new(&targets));
                self.send(parent, Body::Summary(summary), actions);
            }
            _ => {}
        }
    }

    fn report(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut own = std::mem::take(&mut self.own);
        // The latest answers alone do not tell when the fault has just ended.
        if std::mem::take(&mut self.was_slow_itself) || self.is_slow_itself() {
            own.remove_speeds();
        }
        if self.is_possibly_slow_itself() {
            self.own.targets = std::mem::take(&mut own.targets);
        }
        self.estimates.record(&own, now);
        self.estimates.update_rates(now);
        self.pending.add(&own);
        self.flows.expire(now);
        let flows = self.flows.of_subtree();
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
        if receivers.is_empty() {
            // A root that comes in reach later must not get old sums.
            self.pending = Sums::default();
        }
        if !sums.is_empty() {
            let report = Report::new(&sums, self.topology.is_root(), self.summary);
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
        let usual = self.own_ratios.iter().filter(|ratio| **ratio <= OWN_QUARTILE_MAX).count();
        self.own_ratios.len() >= OWN_RATIOS / 2 && usual <= self.own_ratios.len() / 4
    }

    /// Returns whether the latest answers were all slow. The next ones tell whether that is a
    /// fault of this instance.
    fn is_possibly_slow_itself(&self) -> bool {
        let latest = self.own_ratios.iter().rev().take(SUSPECT_RATIOS);
        latest.filter(|ratio| **ratio > OWN_QUARTILE_MAX).count() == SUSPECT_RATIOS
    }

    /// Estimates from all sums, and sends the estimates down the tree.
    fn summarise(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let loads = self.estimates.targets(self.topology.members, now);
        self.view.targets = notable(&loads);
        self.view.routes = self.estimates.routes(&self.flows.of_all(), now);
        self.view.spread = self.estimates.spread();
        self.summary += 1;
        self.view.updated = Some(now);
        self.view.epoch = self.summary / SUMMARIES_PER_EPOCH;
        let targets = self.schedule.choose(&self.view.targets);
        let targets = Some(TargetEstimates::new(&targets));
        let summary = Summary { targets, ..self.summary() };
        self.send_summary(&summary, actions);
        actions.push(Action::Updated);
    }

    /// Returns the latest summary without targets.
    fn summary(&self) -> Summary {
        let mut summary = Summary {
            number: self.summary,
            spread_millis: to_factor_millis(self.view.spread),
            targets: None,
            routes: Vec::new(),
        };
        let mut routes: Vec<_> = self.view.routes.iter().collect();
        routes.sort_by(|(_, first), (_, second)| second.requests.total_cmp(&first.requests));
        for (key, load) in routes.into_iter().take(ENTRIES_MAX) {
            summary.routes.push(RouteEstimate::new(*key, load));
        }
        summary
    }

    /// Replaces the estimates by those from this instance's own samples.
    fn use_own_samples(&mut self, now: Instant) {
        let loads = self.estimates.targets(1, now);
        self.view.targets = notable(&loads);
        self.view.routes = self.estimates.routes(self.flows.own(), now);
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
                if self.topology.is_root() {
                    self.take_handover(&from, &summary, now);
                } else {
                    self.take_summary(&summary, now, actions);
                }
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
        self.flows.set_peer(from, flows, report.is_domain, now);
        if self.topology.is_root() {
            self.estimates.record(&sums, now);
        }
        if self.topology.is_root() && !report.is_domain {
            self.summary = self.summary.max(report.number);
        }
        if !report.is_domain {
            self.pending.add(&sums);
        }
    }

    /// Takes over the estimates of a former root that is now a child of this one, or that
    /// knows this instance before this one knows any other.
    fn take_handover(&mut self, from: &instance::Id, summary: &Summary, now: Instant) {
        let is_child = self.topology.children.contains(from) || self.topology.members == 1;
        if !is_child || summary.number + HANDOVER_LAG_MAX < self.summary {
            return;
        }
        self.summary = self.summary.max(summary.number);
        let targets = summary.targets.iter().flat_map(|targets| targets.loads(now));
        self.view.targets.extend(targets);
        let routes = summary.routes.iter();
        let routes = routes.map(|entry| (key::Route(entry.key), entry.load())).collect();
        self.estimates.inherit(&self.view.targets, &routes, now);
        self.schedule.restart(&self.view.targets);
    }

    fn take_summary(&mut self, summary: &Summary, now: Instant, actions: &mut Vec<Action>) {
        let is_stale = self.view.age(now).is_none_or(|age| age >= SUMMARY_AGE_MAX);
        if summary.number <= self.summary && !is_stale {
            return;
        }
        if is_stale {
            self.view.targets.clear();
        }
        self.next_report = now + self.report_offset();
        self.summary = summary.number;
        self.view.epoch = summary.number / SUMMARIES_PER_EPOCH;
        self.view.updated = Some(now);
        self.view.spread = from_millis(u64::from(summary.spread_millis));
        self.view.routes.clear();
        for entry in &summary.routes {
            self.view.routes.insert(key::Route(entry.key), entry.load());
        }
        for (key, load) in summary.targets.iter().flat_map(|targets| targets.loads(now)) {
            if load.is_notable() {
                self.view.targets.insert(key, load);
            } else {
                self.view.targets.remove(&key);
            }
        }
        self.view.targets.retain(|_, load| now.since(load.updated) < ESTIMATE_RETENTION);
        self.send_summary(summary, actions);
        actions.push(Action::Updated);
    }

    /// Returns the time between a summary and the next report: instances that are further from
    /// the root report earlier, so that their sums reach the root before the next summary.
    fn report_offset(&self) -> Span {
        let steps = REPORT_STEPS.saturating_sub(self.topology.depth as u64).max(1);
        Span(INTERVAL.0 * steps / REPORT_STEPS)
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

/// Returns the targets with notable estimates.
fn notable(loads: &[(key::Target, TargetLoad)]) -> rustc_hash::FxHashMap<key::Target, TargetLoad> {
    loads.iter().copied().filter(|(_, load)| load.is_notable()).collect()
}
