//! Membership, configuration, and what follows from their changes.
//!
//! One task owns all of it. It ticks, takes what peers and the platform say,
//! and when anything changed it builds a new snapshot, announces what a lost
//! owner took with it, and settles the gates.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
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
    revisions: BTreeMap<instance::Id, revision::Number>,
    everywhere: revision::Number,
    report: Arc<parking_lot::RwLock<Report>>,
    heard: mpsc::Sender<Heard>,
    settled_at: Instant,
}

impl Control {
    /// A loop for `node`, whose life begins now.
    pub fn new(
        node: Arc<Node>,
        platform: Arc<dyn Platform>,
        observer: Box<dyn Observer>,
        settings: mustardway_membership::settings::Settings,
        report: Arc<parking_lot::RwLock<Report>>,
    ) -> (Self, mpsc::Receiver<impl Send + use<>>) {
        let now = node.clock.now();
        let digester = |files: &set::Files| folder_of(files).digest();
        let spread = mustardway_spread::settings::Settings::new(node.me.clone(), settings.seed);
        let (heard, heard_inbox) = mpsc::channel(64);
        let control = Control {
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
            revisions: BTreeMap::new(),
            everywhere: revision::Number(0),
            report,
            heard,
            settled_at: now,
        };
        (control, heard_inbox)
    }
}
