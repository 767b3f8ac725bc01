//! A simulated instance: the production state machines without input and output.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use mustardway_flow::contested::message as contested_message;
use mustardway_flow::front::Front;
use mustardway_flow::load;
use mustardway_flow::packet::Packet;
use mustardway_load::message as load_message;
use mustardway_membership::{event, member, message, node, roster, settings};
use mustardway_mirror::message as mirror_message;
use mustardway_mirror::node as mirror;
use mustardway_types::instance::Incarnation;
use mustardway_types::time::{Instant, Span};
use mustardway_types::{domain, instance, target};
use prost::Message as _;

use crate::costs::Costs;
use crate::network::Link;
use crate::variant::Variant;

/// Bytes that framing, TCP and IP add to a message.
const OVERHEAD_BYTES: usize = 60;
/// Timeout of a readiness check by the routers.
const CHECK_TIMEOUT: Span = Span::millis(500);
/// Number of seed instances that a starting instance knows.
const SEED_COUNT: usize = 3;

/// A message between instances.
#[derive(Debug, Clone)]
pub(crate) enum Frame {
    Membership(message::Message),
    Mirror(mirror_message::Message),
    Load(load_message::Message),
    Contested(contested_message::Message),
    /// Report of a target's health within a failure domain.
    PeerReport {
        target: target::Id,
        is_lost: bool,
    },
}

impl Frame {
    /// Returns the size of the message on the wire.
    pub(crate) fn bytes(&self) -> usize {
        OVERHEAD_BYTES
            + match self {
                Frame::Membership(message) => message.encoded_len(),
                Frame::Mirror(message) => message.encoded_len(),
                Frame::Load(message) => message.encoded_len(),
                Frame::Contested(message) => message.encoded_len(),
                Frame::PeerReport { target, .. } => target.as_str().len(),
            }
    }
}

/// A simulated instance.
pub(crate) struct Host {
    pub(crate) id: instance::Id,
    pub(crate) domain: usize,
    pub(crate) front: Front,
    /// True costs of the targets, as the policy of the front sees them.
    pub(crate) costs: Costs,
    pub(crate) mirror: mirror::Node,
    pub(crate) membership: node::Node,
    pub(crate) alive: bool,
    /// Whether a graceful stop is in progress.
    pub(crate) is_stopping: bool,
    /// Time until which the instance is paused.
    pub(crate) frozen_until: Instant,
    /// Time at which the instance last started or resumes after its latest pause.
    pub(crate) changed_at: Instant,
    /// Time up to which a fault affects the instance. Planned restarts are none.
    pub(crate) impaired_until: Instant,
    /// Number of restarts.
    pub(crate) incarnation: u32,
    /// The outgoing direction of the link.
    pub(crate) outbound: Link,
    /// The incoming direction of the link.
    pub(crate) inbound: Link,
    /// Version of the member list that the current topology was computed from.
    pub(crate) topology_version: Option<u64>,
    /// Live instances in this instance's failure domain, including itself.
    pub(crate) neighbours: Vec<instance::Id>,
    /// Held packets, each with its flow.
    pub(crate) held: Vec<(u32, Packet)>,
}

impl Host {
    /// Creates an instance that starts `now`. Both directions of its link are like the
    /// idle `link`.
    pub(crate) fn new(
        index: usize,
        domain: usize,
        name: &domain::Name,
        incarnation: u32,
        link: Link,
        policy: (Variant, load::Settings),
        now: Instant,
    ) -> Self {
        let id = id(index);
        let seed = (index as u64) << 20 | u64::from(incarnation);
        let me = member::Member {
            id: id.clone(),
            domain: name.clone(),
            address: address(index),
            incarnation: Incarnation(u64::from(incarnation) + 1),
        };
        let mut membership = node::Node::new(settings::Settings::new(me, seed), now);
        let mut entries = Vec::new();
        for seed in (0..SEED_COUNT).filter(|seed| *seed != index) {
            let (id, address) = (self::id(seed), address(seed));
            entries.push(roster::Entry { id, domain: name.clone(), address, leaving: false });
        }
        // Membership requests no actions before its first tick.
        membership.handle(now, event::Event::Roster(entries), &mut Vec::new());
        let (variant, load) = policy;
        let costs = Costs::default();
        let front = Front::new(id.clone(), name.clone(), seed);
        Host {
            front: front.with_policy(variant.policy(&costs)).with_load(load, now),
            costs,
            mirror: mirror::Node::new(seed, now),
            membership,
            id,
            domain,
            alive: true,
            is_stopping: false,
            frozen_until: now,
            changed_at: now,
            impaired_until: Instant::default(),
            incarnation,
            outbound: link,
            inbound: link,
            topology_version: None,
            neighbours: Vec::new(),
            held: Vec::new(),
        }
    }

    /// Returns whether the instance is alive and not paused.
    pub(crate) fn runs(&self, now: Instant) -> bool {
        self.alive && now >= self.frozen_until
    }

    /// Returns whether the instance passes the routers' readiness check, which has to
    /// arrive in time.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        let is_reachable = self.inbound.backlog(now) < CHECK_TIMEOUT;
        self.runs(now) && !self.is_stopping && is_reachable && self.front.is_ready()
    }
}

/// Returns the id of the instance with the given index.
pub(crate) fn id(index: usize) -> instance::Id {
    format!("i-{index:04}").parse().expect("a generated instance id is valid")
}

/// Returns the index of the instance with the given id.
pub(crate) fn index(id: &instance::Id) -> Option<usize> {
    id.as_str().strip_prefix("i-")?.parse().ok()
}

fn address(index: usize) -> SocketAddr {
    let [.., third, fourth] = (index as u32).to_be_bytes();
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(10, 1, third, fourth), 7_000))
}
