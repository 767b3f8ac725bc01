//! One instance: the product's decisions, without input or output.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use mustardway_flow::front::Front;
use mustardway_membership::{event, member, message, node, roster, settings};
use mustardway_mirror::message as mirror_message;
use mustardway_mirror::node as mirror;
use mustardway_types::instance::Incarnation;
use mustardway_types::time::Instant;
use mustardway_types::{domain, instance, target};
use prost::Message as _;

use crate::network::Link;
use crate::variant::Variant;

/// Bytes around a message: frame, TCP and IP.
const OVERHEAD_BYTES: usize = 60;
/// Instances that a start knows of.
const SEED_COUNT: usize = 3;

/// What instances say to each other.
#[derive(Debug, Clone)]
pub(crate) enum Frame {
    Membership(message::Message),
    Mirror(mirror_message::Message),
    PeerReport { target: target::Id, is_lost: bool },
}

impl Frame {
    /// Bytes on the wire.
    pub(crate) fn bytes(&self) -> usize {
        OVERHEAD_BYTES
            + match self {
                Frame::Membership(message) => message.encoded_len(),
                Frame::Mirror(message) => message.encoded_len(),
                Frame::PeerReport { target, .. } => target.as_str().len(),
            }
    }
}

/// One instance.
pub(crate) struct Host {
    pub(crate) id: instance::Id,
    pub(crate) domain: usize,
    pub(crate) front: Front,
    pub(crate) mirror: mirror::Node,
    pub(crate) membership: node::Node,
    pub(crate) alive: bool,
    pub(crate) is_stopping: bool,
    /// It stands still until then.
    pub(crate) frozen_until: Instant,
    /// When it last started or stood still.
    pub(crate) changed_at: Instant,
    pub(crate) incarnation: u32,
    pub(crate) link: Link,
    /// Version of the live list that places were worked out for.
    pub(crate) topology_version: Option<u64>,
    pub(crate) neighbours: Vec<instance::Id>,
}

impl Host {
    /// An instance that starts `now`.
    pub(crate) fn new(
        index: usize,
        domain: usize,
        name: &domain::Name,
        incarnation: u32,
        link: Link,
        variant: Variant,
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
        // Nothing is wanted before the first tick.
        membership.handle(now, event::Event::Roster(entries), &mut Vec::new());
        Host {
            front: Front::new(id.clone(), name.clone(), seed).with_policy(variant.policy()),
            mirror: mirror::Node::new(seed, now),
            membership,
            id,
            domain,
            alive: true,
            is_stopping: false,
            frozen_until: now,
            changed_at: now,
            incarnation,
            link,
            topology_version: None,
            neighbours: Vec::new(),
        }
    }

    /// Whether it runs.
    pub(crate) fn runs(&self, now: Instant) -> bool {
        self.alive && now >= self.frozen_until
    }

    /// Whether it answers the routers' check with yes.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        self.runs(now) && !self.is_stopping && self.front.is_ready()
    }
}

/// Name of an instance.
pub(crate) fn id(index: usize) -> instance::Id {
    format!("i-{index:04}").parse().expect("a name by its form")
}

/// Place of an instance.
pub(crate) fn index(id: &instance::Id) -> Option<usize> {
    id.as_str().strip_prefix("i-")?.parse().ok()
}

fn address(index: usize) -> SocketAddr {
    let [.., third, fourth] = (index as u32).to_be_bytes();
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(10, 1, third, fourth), 7_000))
}
