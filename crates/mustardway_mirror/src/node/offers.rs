//! Offers of large changes.
//!
//! An instance that has a large change offers it, and each peer pulls it from one of
//! those that offer it. An offer is forwarded at once, before the change itself has
//! arrived, and pulls that arrive before the change wait for it.
//!
//! Who was offered a change does not read the platform until it should have arrived.
//! Otherwise all replicas would grow too old meanwhile, and every instance would read
//! it. Offers also go, as mere notices, two steps down the tree at a time, because an
//! instance whose link is busy forwards an offer late. Who gets a notice and soon after
//! no offer pulls from the sender of the notice: the instance that was to offer the
//! change may be lost.

use std::collections::{BTreeMap, BTreeSet};

use mustardway_types::instance;
use mustardway_types::revision::Version;
use mustardway_types::time::{Instant, Span};

use super::{Action, Node};
use crate::message::{Body, Pull, Push};

/// Minimum size in bytes of changes that are offered. Smaller ones are sent at once:
/// even a copy from every instance of a large fleet passes a narrow link quickly.
const OFFERED_BYTES_MIN: usize = 4 * 1024;
/// Time for an offered change of any size to arrive.
const TRANSFER_TIME_MIN: Span = Span::millis(500);
/// Time after a notice within which the change is offered. Offers are small and are
/// forwarded at once.
const OFFER_TIME: Span = Span::millis(300);
/// Maximum time for an offered change to arrive.
const TRANSFER_TIME_MAX: Span = Span::seconds(3);
/// Bytes per second that a narrow link (10 Mbit/s) carries.
const NARROW_LINK_RATE: u64 = 1_250_000;
/// Maximum number of trees down which offers of one version are forwarded. Instances
/// that do not know the same peers may leave gaps in a single tree.
const TREES_MAX: usize = 3;
/// Maximum number of peers whose pulls wait for a change.
const WAITING_MAX: usize = 16;

/// A change that was offered and has not arrived.
#[derive(Debug)]
struct Incoming {
    version: Version,
    /// Peer that the change was pulled from.
    from: instance::Id,
    /// Time at which the pull counts as lost.
    pull_until: Instant,
    /// Root of the tree down which the offer was forwarded.
    root: Option<instance::Id>,
}

/// A change that this instance has had notice of, but no offer.
#[derive(Debug)]
struct Noticed {
    from: instance::Id,
    /// The notice, which has no changes.
    push: Push,
    at: Instant,
}

/// Changes that were offered by or to this instance.
#[derive(Debug, Default)]
pub(super) struct Offers {
    incoming: Option<Incoming>,
    noticed: Option<Noticed>,
    /// Time until which the platform is not read. It does not end when the change has
    /// arrived, since confirmations are queued behind the copies for other peers.
    hold_until: Instant,
    /// Version for which reads are held.
    held_for: Version,
    /// Version that was last offered or noticed, and the roots of the trees down which
    /// that was forwarded.
    forwarded: (Version, Vec<instance::Id>),
    /// Pulls of peers that wait for the incoming change.
    waiting: BTreeMap<instance::Id, Pull>,
    /// Peers that were offered the latest change and have not pulled it.
    offered: BTreeSet<instance::Id>,
    /// The latest difference between two eras, which is not in the history.
    difference: Option<Push>,
}

impl Offers {
    /// Returns whether the platform is not read because a change is on its way.
    pub(super) fn holds_reads(&self, now: Instant) -> bool {
        now < self.hold_until
    }

    /// Ends the wait for a change that was pulled from an instance that is not among the
    /// `live` ones any more.
    pub(super) fn forget_lost_peers(&mut self, live: &[&instance::Id], now: Instant) {
        let lost = self.incoming.as_ref().filter(|incoming| !live.contains(&&incoming.from));
        if let Some(lost) = lost.map(|incoming| incoming.from.clone()) {
            self.forget_peer(&lost, now);
        }
    }

    /// Ends the wait for a change that was pulled from `peer`, whose link broke.
    pub(super) fn forget_peer(&mut self, peer: &instance::Id, now: Instant) {
        if self.incoming.take_if(|incoming| incoming.from == *peer).is_some() {
            self.hold_until = now;
        }
    }

    /// Returns whether a change that is newer than the replica is on its way.
    pub(super) fn is_incoming(&self, now: Instant) -> bool {
        self.incoming.as_ref().is_some_and(|incoming| now < incoming.pull_until)
    }

    /// Holds reads until `until`, because `version` is on its way to an instance that has
    /// `own`. Reads are held once until that or a later version has arrived, so that a
    /// change that does not arrive holds them no longer.
    fn hold_reads(&mut self, own: Version, version: Version, until: Instant) {
        if self.held_for <= own {
            self.held_for = version;
            self.hold_until = until;
        }
    }

    /// Records a notice, unless one of the same or a later change is recorded.
    fn notice(&mut self, from: &instance::Id, push: &Push, now: Instant) {
        if self.noticed.as_ref().is_none_or(|noticed| noticed.push.last() < push.last()) {
            self.noticed = Some(Noticed { from: from.clone(), push: push.clone(), at: now });
        }
    }

    /// Returns whether an offer or a notice is to be forwarded down the tree of `root`. If
    /// so, it counts as forwarded.
    fn start_forwarding(&mut self, version: Version, root: &instance::Id) -> bool {
        let (forwarded, roots) = &mut self.forwarded;
        if version > *forwarded {
            *forwarded = version;
            roots.clear();
        }
        let is_due = version == *forwarded && roots.len() < TREES_MAX && !roots.contains(root);
        if is_due {
            roots.push(root.clone());
        }
        is_due
    }

    /// Returns `push` if it is small, else an offer of its changes.
    pub(super) fn offer_if_large(push: &Push) -> Push {
        match push.size() > OFFERED_BYTES_MIN {
            true => push.to_offer(),
            false => push.clone(),
        }
    }

    /// Records that a push was sent to a peer.
    pub(super) fn record_sent(&mut self, to: &instance::Id, push: &Push) {
        if push.is_offer() && !push.is_notice {
            self.offered.insert(to.clone());
        }
    }

    /// Returns whether a peer pulls what it was offered. It may do so once.
    pub(super) fn take_solicited(&mut self, peer: &instance::Id) -> bool {
        self.offered.remove(peer)
    }

    /// Lets the pull of a peer that has the same version wait for the incoming change.
    pub(super) fn wait(&mut self, peer: instance::Id, pull: Pull) {
        if self.waiting.len() < WAITING_MAX {
            self.waiting.insert(peer, pull);
        }
    }

    /// Keeps the difference between two eras for peers that pull it.
    pub(super) fn keep_difference(&mut self, push: &Push) {
        if push.size() > OFFERED_BYTES_MIN {
            self.difference = Some(push.clone());
        }
    }

    /// Returns the difference between two eras that starts from `have`.
    pub(super) fn difference_from(&self, have: Version, own: Version) -> Option<&Push> {
        let difference = self.difference.as_ref()?;
        (difference.first() == have && difference.last().era == own.era).then_some(difference)
    }

    /// Forgets the difference between two eras.
    pub(super) fn forget_difference(&mut self) {
        self.difference = None;
    }
}

impl Node {
    /// Handles an offer of changes that are newer than the replica: pulls them unless
    /// they are on their way, and forwards the offer.
    pub(super) fn take_offer(
        &mut self,
        from: &instance::Id,
        push: &Push,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let version = push.last();
        let until = now + transfer_time(push.offered_bytes, self.topology.copies_in_turn());
        self.offers.hold_reads(self.replica.version(), version, until);
        let incoming = self.offers.incoming.as_ref();
        let is_coming = incoming.is_some_and(|it| it.version >= version && now < it.pull_until);
        if push.is_notice && !is_coming {
            self.offers.notice(from, push, now);
        }
        if !push.is_notice && !is_coming {
            self.offers.noticed = None;
            self.send_pull(from, now, actions);
            let (from, root) = (from.clone(), self.forwarding_root(push));
            self.offers.incoming = Some(Incoming { version, from, pull_until: until, root });
        }
        let Some(root) = self.forwarding_root(push) else { return };
        // An instance that pulls the change forwards the offer although it has forwarded
        // the notice.
        if self.offers.start_forwarding(version, &root) || !push.is_notice && !is_coming {
            self.forward(push, &root, now, actions);
        }
    }

    /// Pulls a change from the sender of its notice if nobody has offered it.
    pub(super) fn pull_noticed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_due = |noticed: &mut Noticed| now >= noticed.at + OFFER_TIME;
        let Some(noticed) = self.offers.noticed.take_if(is_due) else { return };
        if noticed.push.last() > self.replica.version() {
            let offer = Push { is_notice: false, ..noticed.push };
            self.take_offer(&noticed.from, &offer, now, actions);
        }
    }

    /// Sends notices of an offer to instances that this one does not send the change to.
    pub(super) fn send_notices(
        &mut self,
        to: Vec<instance::Id>,
        offer: &Push,
        root: &instance::Id,
        actions: &mut Vec<Action>,
    ) {
        for to in to {
            let root = root.to_string();
            let notice = Push { is_notice: true, relay: true, root, ..offer.clone() };
            actions.push(Action::Send { to, message: Body::Push(notice).into() });
        }
    }

    /// Answers the pulls that wait for the change that has just arrived from `peer`, or
    /// from the platform. If the peer that was pulled from sent less than it had offered,
    /// pulls again.
    pub(super) fn settle_offers(
        &mut self,
        peer: Option<&instance::Id>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let own = self.replica.version();
        match self.offers.incoming.take() {
            Some(incoming) if incoming.version > own => {
                if peer == Some(&incoming.from) {
                    self.send_pull(&incoming.from, now, actions);
                }
                self.offers.incoming = Some(incoming);
            }
            // The change was asked for when it was offered, which may be long ago.
            Some(incoming) if peer.is_some() => {
                self.ask(&incoming.from, incoming.root, now, actions);
            }
            _ => {}
        }
        for (peer, pull) in std::mem::take(&mut self.offers.waiting) {
            self.answer_pull(peer, &pull, now, actions);
        }
    }
}

/// Returns the time within which an offered change arrives, if `copies` of it are sent
/// one after the other.
fn transfer_time(bytes: u64, copies: u64) -> Span {
    let time = Span(bytes.saturating_mul(copies).saturating_mul(1_000_000) / NARROW_LINK_RATE);
    TRANSFER_TIME_MAX.min(TRANSFER_TIME_MIN + time)
}
