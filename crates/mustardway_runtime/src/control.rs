//! The control loop, which runs membership and configuration distribution.
//!
//! A single task owns this state. It handles timer ticks, messages of peers and responses of the
//! platform. When membership or configuration changed, it builds a new routing snapshot, reconciles
//! the gates with it, and announces to the new owners what this instance knows of the requests of
//! lost owners.
//!
//! Modules:
//! - [`channel`]: the channels into the loop.
//! - [`observer`]: notifications about configuration revisions.
//! - [`readiness`]: conditions for taking packets.
//! - [`report`]: the published state of the loop.

pub mod channel;
pub mod observer;
mod platform;
pub mod readiness;
pub mod report;
mod snapshot;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use mustardway_membership::{action, event, member, message, node as membership};
use mustardway_peer::link::Peer;
use mustardway_peer::send::Priority;
use mustardway_reader::platform::Platform;
use mustardway_routing::snapshot::{Plan, Snapshot};
use mustardway_spread::{
    action as spread_action, event as spread_event, message as spread_message, readers, replica,
    set,
};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance, revision};
use mustardway_view::folder::{self, Files};
use mustardway_view::history::History;
use prost::Message;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use self::channel::{Inbox, Order};
use self::observer::{Adopted, Observer};
use self::platform::{Response, read_roster, to_folder, to_platform_answer, to_roster_entry};
use self::report::Report;
use crate::handover::{self, Coordinator};
use crate::message::Kind;
use crate::node::Node;
use crate::peers::Notice;

/// Time between two ticks of the control loop.
pub const TICK: Duration = Duration::from_millis(50);
/// Capacity of the queue of platform responses, in responses.
const RESPONSE_QUEUE_LENGTH: usize = 64;
/// Time between two snapshots while a snapshot holds entries that expire, such as recently
/// unreachable failure domains.
const SNAPSHOT_INTERVAL: Span = Span::millis(500);

/// The state of the control loop.
pub struct Control {
    node: Arc<Node>,
    platform: Arc<dyn Platform>,
    observer: Box<dyn Observer>,
    membership: membership::Node,
    spread: replica::Replica,
    history: History,
    files: Files,
    handovers: Coordinator,
    plan: Option<Arc<Plan>>,
    /// Plan of the previous revision, kept while the history still holds that revision.
    previous_plan: Option<Arc<Plan>>,
    /// Membership version at the last snapshot.
    membership_version: u64,
    /// States of the instances at the last snapshot.
    instance_states: BTreeMap<instance::Id, member::State>,
    /// Failure domains without a live instance now or recently, with the time they were last seen
    /// without one.
    unreachable_domains: BTreeMap<domain::Name, Instant>,
    /// Failure domains in which an instance was recently found dead.
    contested_domains: BTreeSet<domain::Name>,
    /// Failure domains that operators took out, with the time they were last seen out.
    out_domains: BTreeMap<domain::Name, Instant>,
    /// Last revision that each peer reported.
    peer_revisions: BTreeMap<instance::Id, revision::Number>,
    /// Greatest revision that all neighbours were seen to have in force.
    converged_revision: revision::Number,
    report: Arc<parking_lot::RwLock<Report>>,
    responses: mpsc::Sender<Response>,
    responses_inbox: mpsc::Receiver<Response>,
    /// The latest read of the configuration.
    configuration_read: Option<AbortHandle>,
    snapshot_built_at: Instant,
    /// Whether the gates must be reconciled with the last snapshot.
    is_reconcile_due: bool,
    /// Membership version and revision that the last snapshot was built from. The gates are due for
    /// reconciliation when either changes.
    reconcile_basis: (u64, revision::Number),
    was_fenced: bool,
    /// Instances found dead since the gates were last reconciled.
    lost_instances: BTreeSet<instance::Id>,
    /// Time of the last log line about a condition that keeps this instance from being ready.
    obstacle_logged_at: Option<Instant>,
}

impl Control {
    /// Creates the control loop of `node`, an instance that starts now.
    pub fn new(
        node: Arc<Node>,
        platform: Arc<dyn Platform>,
        observer: Box<dyn Observer>,
        settings: mustardway_membership::settings::Settings,
        report: Arc<parking_lot::RwLock<Report>>,
    ) -> Self {
        let now = node.clock.now();
        let digester = |files: &set::Files| to_folder(files).digest();
        let spread = mustardway_spread::settings::Settings::new(node.me.clone(), settings.seed);
        let (responses, responses_inbox) = mpsc::channel(RESPONSE_QUEUE_LENGTH);
        Control {
            spread: replica::Replica::new(spread, Box::new(digester), now),
            membership: membership::Node::new(settings, now),
            node,
            platform,
            observer,
            history: History::default(),
            files: Files::new(),
            handovers: Coordinator::default(),
            plan: None,
            previous_plan: None,
            membership_version: 0,
            instance_states: BTreeMap::new(),
            unreachable_domains: BTreeMap::new(),
            contested_domains: BTreeSet::new(),
            out_domains: BTreeMap::new(),
            peer_revisions: BTreeMap::new(),
            converged_revision: revision::Number(0),
            report,
            responses,
            responses_inbox,
            configuration_read: None,
            snapshot_built_at: now,
            is_reconcile_due: true,
            reconcile_basis: (0, revision::Number(0)),
            was_fenced: true,
            lost_instances: BTreeSet::new(),
            obstacle_logged_at: None,
        }
    }

    /// Runs until it receives [`Order::Stop`].
    pub async fn run(mut self, mut inbox: Inbox) {
        tokio::spawn(read_roster(Arc::clone(&self.platform), self.responses.clone()));
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                Some(response) = self.responses_inbox.recv() => self.handle_response(response),
                Some(notice) = inbox.notices.recv() => self.handle_notice(notice),
                Some(order) = inbox.orders.recv() => match order {
                    Order::Leave => self.handle_membership_event(event::Event::Leave),
                    Order::Return => self.handle_membership_event(event::Event::Return),
                    Order::Stop(acknowledgement) => {
                        self.handle_membership_event(event::Event::Left);
                        // The receiver is gone if the stop timed out.
                        let _ = acknowledgement.send(());
                        return;
                    }
                },
            }
        }
    }

    fn tick(&mut self) {
        self.handle_membership_event(event::Event::Tick);
        self.handle_spread_event(spread_event::Event::Tick);
        self.advertise_revision();
        let now = self.node.clock.now();
        self.update_fence(now);
        self.handovers.tick(&self.node);
        self.tick_gates(now);
        if self.is_snapshot_due(now) {
            self.rebuild_snapshot();
        }
        self.write_report(now);
    }

    /// Updates whether this instance is fenced and so must not act as an owner. When the fence is
    /// lifted, the history of all gates is marked incomplete, because other instances may have
    /// served their targets meanwhile.
    fn update_fence(&mut self, now: Instant) {
        let fenced = self.membership.fenced(now);
        if self.was_fenced && !fenced {
            slog::info!(self.node.logger, "fence lifted: peers have answered");
            for gate in self.node.gates.read().values() {
                gate.lock().mark_history_incomplete(now);
            }
        }
        if fenced && !self.was_fenced {
            slog::warn!(
                self.node.logger,
                "fenced: no answer from peers, or the process was paused"
            );
        }
        self.was_fenced = fenced;
        self.node.record_tick(now, fenced);
    }

    /// Returns whether a new snapshot is due, because membership changed, the gates must be
    /// reconciled, or the last snapshot holds entries that expire.
    fn is_snapshot_due(&self, now: Instant) -> bool {
        if self.membership.version() != self.membership_version || self.is_reconcile_due {
            return true;
        }
        let ages = self.previous_plan.is_some()
            || !self.unreachable_domains.is_empty()
            || !self.contested_domains.is_empty();
        ages && now.since(self.snapshot_built_at) >= SNAPSHOT_INTERVAL
    }

    /// Passes the mean load of its pool and the time to each gate.
    fn tick_gates(&self, now: Instant) {
        let snapshot = self.node.snapshot();
        let gates: Vec<_> = self.node.gates.read().values().cloned().collect();
        for gate in gates {
            let mut steps = Vec::new();
            {
                let mut gate = gate.lock();
                let service = snapshot.target(gate.target()).map(|target| &target.service);
                let plan = snapshot.plan.as_ref();
                let pool = service.and_then(|service| plan?.pools.get(service));
                if let Some(mean) = pool.and_then(|pool| self.node.mean_load(pool.targets())) {
                    gate.set_mean_load(mean);
                }
                gate.tick(now, &mut steps);
            }
            self.node.dispatch(steps, None);
        }
    }

    /// Passes a response of the platform to configuration distribution or membership.
    fn handle_response(&mut self, response: Response) {
        match response {
            Response::Configuration(answer) => {
                self.handle_spread_event(spread_event::Event::Platform(to_platform_answer(answer)));
            }
            Response::Roster(listed) => {
                let entries = listed.into_iter().map(to_roster_entry).collect();
                self.handle_membership_event(event::Event::Roster(entries));
            }
        }
    }

    /// Passes a notice of a peer to the component that it concerns.
    fn handle_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Membership(from, body) => {
                let Ok(message) = message::Message::decode(body) else { return };
                self.handle_membership_event(event::Event::Received { from, message });
            }
            Notice::Spread(from, body) => {
                let Ok(message) = spread_message::Message::decode(body) else { return };
                self.handle_spread_event(spread_event::Event::Received { from, message });
            }
            Notice::LinkDown(id) => self.handle_membership_event(event::Event::LinkDown(id)),
            Notice::Accepted(from, accepted) => self.handovers.accepted(&from, &accepted),
        }
    }

    /// Passes an event to membership and performs the resulting actions.
    fn handle_membership_event(&mut self, event: event::Event) {
        let mut actions = Vec::new();
        self.membership.handle(self.node.clock.now(), event, &mut actions);
        let mut changed = false;
        for action in actions {
            match action {
                action::Action::Send { to, address, message } => {
                    let peer = Peer { id: to, address };
                    self.node.send_to(&peer, Priority::Control, Kind::Membership, &message);
                }
                action::Action::Changed => changed = true,
                action::Action::PeerRevision { from, number, digest, age } => {
                    self.record_peer_revision(&from, number);
                    let event = spread_event::Event::PeerRevision { from, number, digest, age };
                    self.handle_spread_event(event);
                }
            }
        }
        if changed {
            self.rebuild_snapshot();
        }
    }

    /// Passes an event to configuration distribution and performs the resulting actions.
    fn handle_spread_event(&mut self, event: spread_event::Event) {
        let mut actions = Vec::new();
        self.spread.handle(self.node.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                spread_action::Action::Read { after, wait } => self.read_platform(after, wait),
                spread_action::Action::Send { to, message } => {
                    self.node.send(&to, Priority::Bulk, Kind::Spread, &message);
                }
                spread_action::Action::Propose(set) => self.validate(&set),
                spread_action::Action::Report(kind) => {
                    slog::info!(self.node.logger, "configuration"; "report" => %kind);
                }
            }
        }
    }

    /// Starts a read of the configuration from the platform, which holds it open for `wait`.
    /// An earlier read that is still open is given up.
    fn read_platform(&mut self, after: revision::Number, wait: Span) {
        let (platform, responses) = (Arc::clone(&self.platform), self.responses.clone());
        let read = tokio::spawn(async move {
            let answer = platform.configuration(after, wait).await;
            // The receiver is gone if the control loop has stopped.
            let _ = responses.send(Response::Configuration(answer)).await;
        });
        if let Some(earlier) = self.configuration_read.replace(read.abort_handle()) {
            earlier.abort();
        }
    }

    /// Parses a proposed revision and puts it in force, or reports its problems.
    fn validate(&mut self, set: &set::Set) {
        let files = to_folder(&set.files);
        let accepted = match folder::parse(set.number, &files) {
            Ok(view) => self.adopt(view, files),
            Err(problems) => {
                let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
                self.observer.refused(set.number, &problems);
                false
            }
        };
        self.handle_spread_event(spread_event::Event::Verdict { number: set.number, accepted });
        if accepted {
            self.advertise_revision();
            self.rebuild_snapshot();
        }
    }

    /// Passes the revision in force and its age to membership, whose heartbeats carry them.
    fn advertise_revision(&mut self) {
        let (number, digest) = (self.spread.in_force().number, self.spread.in_force().digest);
        let age = self.spread.age(self.node.clock.now());
        self.handle_membership_event(event::Event::Revision { number, digest, age });
    }

    /// Puts a parsed view in force. Returns whether the history accepted it.
    fn adopt(&mut self, view: mustardway_view::model::View, files: Files) -> bool {
        let view = Arc::new(view);
        let now = self.node.clock.now();
        let changes = match self.history.adopt(Arc::clone(&view), now) {
            Ok(changes) => changes,
            Err(refused) => {
                self.observer.refused(view.revision, &[refused.to_string()]);
                return false;
            }
        };
        let before = std::mem::replace(&mut self.files, files);
        let (revision, digest) = (view.revision, view.digest);
        self.previous_plan = self.plan.replace(Arc::new(Plan::new(view)));
        let after = self.files.clone();
        self.observer.adopted(&Adopted { revision, digest, changes, before, after });
        true
    }

    /// Builds a snapshot of the current state and applies the changes: fails the asks to lost
    /// instances, reconciles the gates, and announces what this instance knows of lost owners.
    fn rebuild_snapshot(&mut self) {
        let now = self.node.clock.now();
        self.snapshot_built_at = now;
        self.membership_version = self.membership.version();
        let before = self.node.snapshot();
        let lost = self.update_instance_states(now);
        let snapshot = Arc::new(self.build_snapshot(now));
        self.node.set_snapshot(Arc::clone(&snapshot));
        for id in &lost {
            self.node.relay.fail_owner(id);
        }
        let revision = snapshot.plan.as_ref().map(|plan| plan.view.revision).unwrap_or_default();
        let basis = (self.membership_version, revision);
        self.is_reconcile_due |= basis != self.reconcile_basis;
        self.reconcile_basis = basis;
        self.lost_instances.extend(lost.iter().cloned());
        self.reconcile_gates(&snapshot, &before, now);
        handover::announce(&self.node, &before, &snapshot, &lost);
        self.update_spread_neighbours();
    }

    /// Reconciles the gates with the snapshot if that is due and this instance may act as an owner.
    fn reconcile_gates(&mut self, snapshot: &Snapshot, before: &Snapshot, now: Instant) {
        if !self.is_reconcile_due || self.membership.fenced(now) || !self.membership.ready(now) {
            return;
        }
        let lost = std::mem::take(&mut self.lost_instances);
        self.handovers.reconcile(&self.node, snapshot, &lost, before);
        self.is_reconcile_due = false;
    }

    /// Passes the neighbours, the number of live instances and the reader role of this instance to
    /// configuration distribution.
    fn update_spread_neighbours(&mut self) {
        let neighbours = self.membership.neighbours();
        self.handle_spread_event(spread_event::Event::Neighbours(neighbours));
        let live = self.membership.live().count();
        self.handle_spread_event(spread_event::Event::LiveCount(live));
        let domain = self.membership.me().member.domain.clone();
        let ranked = readers::rank(self.membership.live_in(&domain), readers::READERS_PER_DOMAIN);
        let is_reader = ranked.contains(&self.node.me);
        self.handle_spread_event(spread_event::Event::Reader(is_reader));
        let live = self.membership.live().map(|record| &record.member.id);
        let verifiers = readers::rank(live, readers::VERIFIERS);
        let is_verifier = verifiers.contains(&self.node.me);
        self.handle_spread_event(spread_event::Event::Verifier(is_verifier));
    }

    /// Records the revision that a peer reported. Notifies the observer once all neighbours have
    /// the revision in force.
    fn record_peer_revision(&mut self, from: &instance::Id, number: revision::Number) {
        self.peer_revisions.insert(from.clone(), number);
        let in_force = self.spread.in_force().number;
        if self.converged_revision >= in_force || in_force == revision::Number(0) {
            return;
        }
        let mut neighbours = self.membership.neighbours().into_iter();
        let has_it = |id| self.peer_revisions.get(&id).is_some_and(|known| *known >= in_force);
        if neighbours.all(has_it) {
            self.converged_revision = in_force;
            self.observer.in_force_everywhere(in_force);
        }
    }
}
