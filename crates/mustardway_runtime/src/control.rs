//! Membership, configuration, and what follows from their changes.
//!
//! One task owns all of it. It ticks, takes what peers and the platform say,
//! and when anything changed it builds a new snapshot, announces what a lost
//! owner took with it, and settles the gates.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mustardway_membership::{action, event, member, message, node as membership, roster};
use mustardway_peer::link::Peer;
use mustardway_peer::send::Priority;
use mustardway_platform::answer::{Answer, Listed, State as ListedState};
use mustardway_platform::failure::Failure;
use mustardway_platform::platform::Platform;
use mustardway_routing::live::{Instance, Live};
use mustardway_routing::snapshot::{Plan, Snapshot};
use mustardway_spread::{
    action as spread_action, event as spread_event, message as spread_message, platform, readers,
    replica, set,
};
use mustardway_types::time::{Instant, Span};
use mustardway_types::{address, domain, instance, revision};
use mustardway_view::change::Change;
use mustardway_view::folder::{self, Files};
use mustardway_view::history::History;
use mustardway_view::model::DomainState;
use prost::Message;
use tokio::sync::{mpsc, oneshot};

use crate::custody::{self, Custody};
use crate::message::Kind;
use crate::node::Node;
use crate::peers::Note;

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(50);
/// Time between two reads of the platform's instance list.
const ROSTER_INTERVAL: Duration = Duration::from_secs(5);
/// Wait before a failed read of the instance list is repeated.
const ROSTER_RETRY: Duration = Duration::from_secs(1);
/// How long a failure domain that was out of reach stays in doubt after.
const DOUBT: Span = Span::seconds(60);
/// Answers of the platform that wait for the control loop.
const HEARD: usize = 64;
/// Time between snapshots while something in them ages.
const SETTLE_INTERVAL: Span = Span::millis(500);
/// How long flows that ended with a failure domain are told so.
const OUT_MEMORY: Span = Span::seconds(3_600);
/// Notes that wait for the control loop.
const NOTES: usize = 16_384;

/// What the control loop is asked by this process.
pub enum Order {
    /// Begin to hand over.
    Leave,
    /// Take work again.
    Return,
    /// Stop; answered when the peers were told.
    Stop(oneshot::Sender<()>),
}

/// What others may see of the control loop.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Whether this instance may take packets.
    pub is_ready: bool,
    /// Every gate has been taken by its next owner.
    pub handed_over: bool,
    /// Whether this instance reads the platform.
    pub is_reader: bool,
    /// Time since the platform confirmed the revision in force to anybody.
    pub confirmed_ago: Span,
    /// Reads of the platform, and how many failed.
    pub reads: u64,
    /// Reads that failed.
    pub failures: u64,
    /// Instances with their states.
    pub peers: Vec<PeerReport>,
}

/// What is believed of one instance.
#[derive(Debug, Clone)]
pub struct PeerReport {
    /// Its name.
    pub id: instance::Id,
    /// Its failure domain.
    pub domain: domain::Name,
    /// Where it listens for its peers.
    pub address: SocketAddr,
    /// Its state.
    pub state: member::State,
    /// The revision it told last.
    pub revision: revision::Number,
}

/// What is told when a revision came in force here.
#[derive(Debug, Clone)]
pub struct Adopted {
    /// Its number.
    pub revision: revision::Number,
    /// Its digest.
    pub digest: revision::Digest,
    /// What it changed.
    pub changes: Vec<Change>,
    /// Files before.
    pub before: Files,
    /// Files now.
    pub after: Files,
}

/// Hears of revisions that came in force or were refused.
pub trait Observer: Send {
    /// A revision came in force.
    fn adopted(&self, adopted: &Adopted);
    /// A revision was refused with these problems.
    fn refused(&self, revision: revision::Number, problems: &[String]);
    /// Every live instance was seen to have `revision` in force.
    fn everywhere(&self, revision: revision::Number);
}

/// Ways to reach the control loop.
pub struct Handles {
    /// Notes of peers.
    pub notes: mpsc::Sender<Note>,
    /// Orders of this process.
    pub orders: mpsc::Sender<Order>,
}

/// Ends of the channels that the loop reads.
pub struct Inbox {
    notes: mpsc::Receiver<Note>,
    orders: mpsc::Receiver<Order>,
}

/// The channels of a control loop.
pub fn channels() -> (Handles, Inbox) {
    let (notes, notes_inbox) = mpsc::channel(NOTES);
    let (orders, orders_inbox) = mpsc::channel(16);
    (Handles { notes, orders }, Inbox { notes: notes_inbox, orders: orders_inbox })
}

/// What the platform said.
enum Heard {
    Configuration(Result<Answer, Failure>),
    Roster(Vec<Listed>),
}

/// The state of the control loop.
pub struct Control {
    node: Arc<Node>,
    platform: Arc<dyn Platform>,
    observer: Box<dyn Observer>,
    membership: membership::Node,
    spread: replica::Replica,
    history: History,
    files: Files,
    custody: Custody,
    plan: Option<Arc<Plan>>,
    previous: Option<Arc<Plan>>,
    version: u64,
    states: BTreeMap<instance::Id, member::State>,
    doubted: BTreeMap<domain::Name, Instant>,
    contested: BTreeSet<domain::Name>,
    out: BTreeMap<domain::Name, Instant>,
    revisions: BTreeMap<instance::Id, revision::Number>,
    everywhere: revision::Number,
    report: Arc<parking_lot::RwLock<Report>>,
    heard: mpsc::Sender<Heard>,
    heard_inbox: mpsc::Receiver<Heard>,
    settled_at: Instant,
    is_custody_due: bool,
    /// Live list and view that the gates were last settled for.
    custody_basis: (u64, revision::Number),
    was_fenced: bool,
    lost: BTreeSet<instance::Id>,
}

impl Control {
    /// A loop for `node`, whose life begins now.
    pub fn new(
        node: Arc<Node>,
        platform: Arc<dyn Platform>,
        observer: Box<dyn Observer>,
        settings: mustardway_membership::settings::Settings,
        report: Arc<parking_lot::RwLock<Report>>,
    ) -> Self {
        let now = node.clock.now();
        let digester = |files: &set::Files| folder_of(files).digest();
        let spread = mustardway_spread::settings::Settings::new(node.me.clone(), settings.seed);
        let (heard, heard_inbox) = mpsc::channel(HEARD);
        Control {
            spread: replica::Replica::new(spread, Box::new(digester), now),
            membership: membership::Node::new(settings, now),
            node,
            platform,
            observer,
            history: History::default(),
            files: Files::new(),
            custody: Custody::default(),
            plan: None,
            previous: None,
            version: 0,
            states: BTreeMap::new(),
            doubted: BTreeMap::new(),
            contested: BTreeSet::new(),
            out: BTreeMap::new(),
            revisions: BTreeMap::new(),
            everywhere: revision::Number(0),
            report,
            heard,
            heard_inbox,
            settled_at: now,
            is_custody_due: true,
            custody_basis: (0, revision::Number(0)),
            was_fenced: true,
            lost: BTreeSet::new(),
        }
    }

    /// Runs until the order to stop.
    pub async fn run(mut self, mut inbox: Inbox) {
        tokio::spawn(read_roster(Arc::clone(&self.platform), self.heard.clone()));
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                Some(heard) = self.heard_inbox.recv() => self.hear(heard),
                Some(note) = inbox.notes.recv() => self.note(note),
                Some(order) = inbox.orders.recv() => match order {
                    Order::Leave => self.tell_membership(event::Event::Leave),
                    Order::Return => self.tell_membership(event::Event::Return),
                    Order::Stop(told) => {
                        self.tell_membership(event::Event::Left);
                        // The stop goes on even if nobody waits for it.
                        let _ = told.send(());
                        return;
                    }
                },
            }
        }
    }

    fn tick(&mut self) {
        self.tell_membership(event::Event::Tick);
        self.tell_spread(spread_event::Event::Tick);
        self.tell_revision();
        let now = self.node.clock.now();
        self.tick_fence(now);
        self.custody.tick(&self.node);
        self.tick_gates(now);
        if self.is_due(now) {
            self.settle();
        }
        self.write_report(now);
    }

    /// Notes whether this instance may act as an owner. Once it may again, others
    /// may have served its targets meanwhile.
    fn tick_fence(&mut self, now: Instant) {
        let fenced = self.membership.fenced(now);
        if self.was_fenced && !fenced {
            slog::info!(self.node.logger, "has heard its peers");
            for gate in self.node.gates.read().values() {
                gate.lock().doubt(now);
            }
        }
        if fenced && !self.was_fenced {
            slog::warn!(self.node.logger, "is fenced: it has not heard its peers or was paused");
        }
        self.was_fenced = fenced;
        self.node.ticked(now, fenced);
    }

    /// Whether time alone calls for a new snapshot.
    fn is_due(&self, now: Instant) -> bool {
        if self.membership.version() != self.version || self.is_custody_due {
            return true;
        }
        let ages =
            self.previous.is_some() || !self.doubted.is_empty() || !self.contested.is_empty();
        ages && now.since(self.settled_at) >= SETTLE_INTERVAL
    }

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

    fn hear(&mut self, heard: Heard) {
        match heard {
            Heard::Configuration(answer) => {
                self.tell_spread(spread_event::Event::Platform(platform_answer(answer)));
            }
            Heard::Roster(listed) => {
                let entries = listed.into_iter().map(roster_entry).collect();
                self.tell_membership(event::Event::Roster(entries));
            }
        }
    }

    fn note(&mut self, note: Note) {
        match note {
            Note::Membership(from, body) => {
                let Ok(message) = message::Message::decode(body) else { return };
                self.tell_membership(event::Event::Received { from, message });
            }
            Note::Spread(from, body) => {
                let Ok(message) = spread_message::Message::decode(body) else { return };
                self.tell_spread(spread_event::Event::Received { from, message });
            }
            Note::LinkDown(id) => self.tell_membership(event::Event::LinkDown(id)),
            Note::Accepted(from, accepted) => self.custody.accepted(&from, &accepted),
        }
    }

    fn tell_membership(&mut self, event: event::Event) {
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
                action::Action::Heard { from, number, digest, age } => {
                    self.heard_revision(&from, number);
                    let event = spread_event::Event::Heard { from, number, digest, age };
                    self.tell_spread(event);
                }
            }
        }
        if changed {
            self.settle();
        }
    }

    fn tell_spread(&mut self, event: spread_event::Event) {
        let mut actions = Vec::new();
        self.spread.handle(self.node.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                spread_action::Action::Read { after, wait } => self.read(after, wait),
                spread_action::Action::Send { to, message } => {
                    self.node.send(&to, Priority::Bulk, Kind::Spread, &message);
                }
                spread_action::Action::Propose(set) => self.judge(&set),
                spread_action::Action::Report(kind) => {
                    slog::info!(self.node.logger, "configuration"; "report" => %kind);
                }
            }
        }
    }

    /// Reads the platform once.
    fn read(&self, after: revision::Number, wait: bool) {
        let (platform, heard) = (Arc::clone(&self.platform), self.heard.clone());
        let wait = if wait { mustardway_spread::settings::WAIT } else { Span::ZERO };
        tokio::spawn(async move {
            let answer = platform.configuration(after, wait).await;
            // The loop may have stopped.
            let _ = heard.send(Heard::Configuration(answer)).await;
        });
    }

    /// Puts a proposed revision in force, or says why not.
    fn judge(&mut self, set: &set::Set) {
        let files = folder_of(&set.files);
        let accepted = match folder::parse(set.number, &files) {
            Ok(view) => self.adopt(view, files),
            Err(problems) => {
                let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
                self.observer.refused(set.number, &problems);
                false
            }
        };
        self.tell_spread(spread_event::Event::Verdict { number: set.number, accepted });
        if accepted {
            self.tell_revision();
            self.settle();
        }
    }

    /// Has heartbeats carry the revision in force and when it was confirmed.
    fn tell_revision(&mut self) {
        let (number, digest) = (self.spread.in_force().number, self.spread.in_force().digest);
        let age = self.spread.age(self.node.clock.now());
        self.tell_membership(event::Event::Revision { number, digest, age });
    }

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
        self.previous = self.plan.replace(Arc::new(Plan::new(view)));
        let after = self.files.clone();
        self.observer.adopted(&Adopted { revision, digest, changes, before, after });
        true
    }

    /// Builds a snapshot of what is known now and acts on what changed.
    fn settle(&mut self) {
        let now = self.node.clock.now();
        self.settled_at = now;
        self.version = self.membership.version();
        let before = self.node.snapshot();
        let lost = self.note_states(now);
        let snapshot = Arc::new(self.snapshot(now));
        self.node.set_snapshot(Arc::clone(&snapshot));
        for id in &lost {
            self.node.relay.owner_dead(id);
        }
        let revision = snapshot.plan.as_ref().map(|plan| plan.view.revision).unwrap_or_default();
        let basis = (self.version, revision);
        self.is_custody_due |= basis != self.custody_basis;
        self.custody_basis = basis;
        self.lost.extend(lost.iter().cloned());
        self.settle_custody(&snapshot, &before, now);
        custody::announce(&self.node, &before, &snapshot, &lost);
        self.tell_neighbours();
    }

    /// Settles the gates once this instance may act as an owner.
    fn settle_custody(&mut self, snapshot: &Snapshot, before: &Snapshot, now: Instant) {
        if !self.is_custody_due || self.membership.fenced(now) || !self.membership.ready(now) {
            return;
        }
        let lost = std::mem::take(&mut self.lost);
        self.custody.settle(&self.node, snapshot, &lost, before);
        self.is_custody_due = false;
    }

    /// Notes the states of all instances; those that were found dead.
    fn note_states(&mut self, now: Instant) -> BTreeSet<instance::Id> {
        let mut lost = BTreeSet::new();
        let mut states = BTreeMap::new();
        let mut healed = false;
        for record in self.membership.members() {
            let id = record.member.id.clone();
            let earlier = self.states.get(&id).copied();
            if record.state == member::State::Dead && earlier.is_some_and(member::State::is_live) {
                lost.insert(id.clone());
            }
            healed |= earlier == Some(member::State::Dead) && record.state.is_live();
            if earlier != Some(record.state) {
                slog::info!(self.node.logger, "membership"; "instance" => %id,
                    "state" => ?record.state, "incarnation" => %record.member.incarnation);
            }
            states.insert(id, record.state);
        }
        self.states = states;
        self.note_doubt(now);
        if healed {
            for gate in self.node.gates.read().values() {
                gate.lock().doubt(now);
            }
        }
        self.note_contested(now);
        lost
    }

    /// Notes the failure domains in which an instance was found dead lately: it
    /// may be cut off and still serve.
    fn note_contested(&mut self, now: Instant) {
        let dead = |record: &&member::Record| {
            record.state == member::State::Dead && now.since(record.changed) <= DOUBT
        };
        let domain = |record: &member::Record| record.member.domain.clone();
        self.contested = self.membership.members().filter(dead).map(domain).collect();
        let snapshot = self.node.snapshot();
        for (id, gate) in self.node.gates.read().iter() {
            let Some(target) = snapshot.target(id) else { continue };
            gate.lock().set_contested(now, self.contested.contains(&target.domain));
        }
    }

    /// Notes the failure domains that nothing is heard of.
    fn note_doubt(&mut self, now: Instant) {
        let mut known: BTreeMap<&domain::Name, bool> = BTreeMap::new();
        for record in self.membership.members() {
            if record.state == member::State::Left {
                continue;
            }
            *known.entry(&record.member.domain).or_default() |= record.state.is_live();
        }
        for (domain, is_heard) in known {
            if !is_heard {
                self.doubted.insert(domain.clone(), now);
            }
        }
        self.doubted.retain(|_, since| now.since(*since) <= DOUBT);
    }

    fn snapshot(&mut self, now: Instant) -> Snapshot {
        let mut live = Live::default();
        for record in self.membership.live() {
            let member = &record.member;
            let instance = Instance::new(member.id.clone(), member.address, record.is_leaving());
            live.insert(member.domain.clone(), instance);
        }
        if self.history.previous(now).next().is_none() {
            self.previous = None;
        }
        let quarantined: BTreeSet<address::Address> =
            self.history.quarantined(now).map(|(address, _)| address).collect();
        let mut earlier_services = BTreeMap::new();
        let addresses = self.plan.iter().flat_map(|plan| plan.view.addresses.keys());
        for address in addresses {
            let earlier: Vec<_> = self.history.earlier_services(*address).cloned().collect();
            if !earlier.is_empty() {
                earlier_services.insert(*address, earlier);
            }
        }
        Snapshot {
            me: self.node.me.clone(),
            plan: self.plan.clone(),
            previous: self.previous.clone(),
            live,
            quarantined,
            earlier_services,
            doubted: self.doubted.keys().cloned().collect(),
            lately_out: self.lately_out(now),
        }
    }

    /// Failure domains that operators took out, now or lately.
    fn lately_out(&mut self, now: Instant) -> BTreeSet<domain::Name> {
        let domains = self.plan.iter().flat_map(|plan| &plan.view.domains);
        for (name, domain) in domains {
            if domain.state == DomainState::Out {
                self.out.insert(name.clone(), now);
            }
        }
        self.out.retain(|_, seen| now.since(*seen) <= OUT_MEMORY);
        self.out.keys().cloned().collect()
    }

    /// Tells the spread of configuration who the neighbours are.
    fn tell_neighbours(&mut self) {
        let neighbours = self.membership.neighbours();
        self.tell_spread(spread_event::Event::Neighbours(neighbours));
        let live = self.membership.live().count();
        self.tell_spread(spread_event::Event::Live(live));
        let domain = self.membership.me().member.domain.clone();
        let ranked = readers::rank(self.membership.live_in(&domain), readers::READERS);
        let is_reader = ranked.contains(&self.node.me);
        self.tell_spread(spread_event::Event::Reader(is_reader));
    }

    /// Notes a peer's revision and whether all have the one in force.
    fn heard_revision(&mut self, from: &instance::Id, number: revision::Number) {
        self.revisions.insert(from.clone(), number);
        let in_force = self.spread.in_force().number;
        if self.everywhere >= in_force || in_force == revision::Number(0) {
            return;
        }
        let mut neighbours = self.membership.neighbours().into_iter();
        let has_it = |id| self.revisions.get(&id).is_some_and(|known| *known >= in_force);
        if neighbours.all(has_it) {
            self.everywhere = in_force;
            self.observer.everywhere(in_force);
        }
    }

    fn write_report(&self, now: Instant) {
        let counts = self.spread.counts();
        let peer = |record: &member::Record| PeerReport {
            id: record.member.id.clone(),
            domain: record.member.domain.clone(),
            address: record.member.address,
            state: record.state,
            revision: self.revisions.get(&record.member.id).copied().unwrap_or_default(),
        };
        *self.report.write() = Report {
            is_ready: self.is_ready(now),
            handed_over: self.custody.is_empty(&self.node),
            is_reader: self.spread.is_reader(),
            confirmed_ago: self.spread.age(now),
            reads: counts.reads,
            failures: counts.failures,
            peers: self.membership.members().map(peer).collect(),
        };
    }

    /// Whether a view is in force, the peers are heard and every owned gate is open.
    fn is_ready(&self, now: Instant) -> bool {
        let heard = self.membership.ready(now) && !self.membership.fenced(now);
        let knows_all = heard && self.spread.is_ready(now) && self.plan.is_some();
        if !knows_all || self.is_custody_due {
            return false;
        }
        let gates = self.node.gates.read();
        let pending = |gate: &Arc<parking_lot::Mutex<mustardway_gate::Gate>>| {
            matches!(gate.lock().tenure(), mustardway_gate::Tenure::Pending { .. })
        };
        !gates.values().any(pending)
    }
}

/// Reads the platform's instance list for ever.
async fn read_roster(platform: Arc<dyn Platform>, heard: mpsc::Sender<Heard>) {
    loop {
        let pause = match platform.instances().await {
            Ok(listed) => {
                if heard.send(Heard::Roster(listed)).await.is_err() {
                    return;
                }
                ROSTER_INTERVAL
            }
            Err(_) => ROSTER_RETRY,
        };
        tokio::time::sleep(pause).await;
    }
}

fn roster_entry(listed: Listed) -> roster::Entry {
    roster::Entry {
        id: listed.id,
        domain: listed.domain,
        address: listed.peer,
        leaving: listed.state == ListedState::Leaving,
    }
}

fn platform_answer(answer: Result<Answer, Failure>) -> Result<platform::Answer, platform::Failure> {
    let answer = answer.map_err(|failure| match failure {
        Failure::Timeout => platform::Failure::Timeout,
        Failure::Unreachable => platform::Failure::Unreachable,
        Failure::Nonsense | Failure::TooLarge => platform::Failure::Nonsense,
        _ => platform::Failure::Refused,
    })?;
    let content = match answer.files {
        None => platform::Content::NotChanged,
        Some(folder) => {
            let file = |file: mustardway_platform::answer::File| {
                (file.name, Arc::from(file.text.into_bytes()))
            };
            platform::Content::Whole(folder.files.into_iter().map(file).collect())
        }
    };
    Ok(platform::Answer { number: answer.revision, content })
}

/// The files of a set as a folder.
fn folder_of(files: &set::Files) -> Files {
    let mut folder = Files::new();
    for (name, content) in files {
        folder.insert(name, Arc::clone(content));
    }
    folder
}
