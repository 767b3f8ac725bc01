//! Model of the network: delays, partitions and the bandwidth of links.

use std::collections::BTreeMap;

use mustardway_types::time::{Instant, Span};

/// One-way delay inside a failure domain.
const LOCAL_DELAY: Span = Span(100);

/// How a network partition appears to a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Partition {
    /// Connections go unanswered.
    Silent,
    /// Connections are refused.
    Refuses,
}

/// Delays and partitions between failure domains. The platform counts as a failure
/// domain of its own, whose index follows all others.
#[derive(Debug)]
pub(crate) struct Network {
    domain_delay: Span,
    partitions: BTreeMap<(usize, usize), Partition>,
    /// Time at which the latest partition between two failure domains ended.
    healed: BTreeMap<(usize, usize), Instant>,
    /// The failure domain whose links to the others lose packets, and the share of lost
    /// ones.
    lossy: Option<(usize, f64)>,
}

impl Network {
    /// Creates a network without partitions. `domain_delay` is the one-way delay
    /// between failure domains.
    pub(crate) fn new(domain_delay: Span) -> Self {
        Network { domain_delay, partitions: BTreeMap::new(), healed: BTreeMap::new(), lossy: None }
    }

    /// Returns the one-way delay between two failure domains.
    pub(crate) fn delay(&self, first: usize, second: usize) -> Span {
        if first == second { LOCAL_DELAY } else { self.domain_delay }
    }

    /// Returns the current partition between two failure domains, if there is one.
    pub(crate) fn partition(&self, first: usize, second: usize) -> Option<Partition> {
        self.partitions.get(&pair(first, second)).copied()
    }

    /// Starts or ends the losses on the links between a failure domain and the others.
    pub(crate) fn set_lossy(&mut self, lossy: Option<(usize, f64)>) {
        self.lossy = lossy;
    }

    /// Returns whether the links of a failure domain lose packets.
    pub(crate) fn is_lossy(&self) -> bool {
        self.lossy.is_some()
    }

    /// Returns the share of the packets between two failure domains that are lost.
    pub(crate) fn loss(&self, first: usize, second: usize) -> Option<f64> {
        let (domain, share) = self.lossy?;
        (first != second && (first == domain || second == domain)).then_some(share)
    }

    /// Starts a partition between two failure domains.
    pub(crate) fn cut(&mut self, first: usize, second: usize, partition: Partition) {
        self.partitions.insert(pair(first, second), partition);
    }

    /// Ends the partition between two failure domains.
    pub(crate) fn heal(&mut self, first: usize, second: usize, now: Instant) {
        self.partitions.remove(&pair(first, second));
        self.healed.insert(pair(first, second), now);
    }

    /// Returns whether two failure domains were separated at any time after `since`.
    pub(crate) fn was_cut(&self, first: usize, second: usize, since: Instant) -> bool {
        let pair = pair(first, second);
        self.partitions.contains_key(&pair) || self.healed.get(&pair).is_some_and(|at| *at >= since)
    }
}

/// Returns the key of a pair of failure domains, whatever their order.
fn pair(first: usize, second: usize) -> (usize, usize) {
    (first.min(second), first.max(second))
}

/// One direction of a machine's link. Packets are carried one after the other.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Link {
    bits_per_second: f64,
    idle_at: Instant,
}

impl Link {
    /// Creates an idle link.
    pub(crate) fn new(bits_per_second: f64) -> Self {
        Link { bits_per_second, idle_at: Instant::default() }
    }

    /// Queues `bytes` and returns the time at which the last of them is sent.
    pub(crate) fn send(&mut self, bytes: usize, now: Instant) -> Instant {
        const BITS: f64 = 8.0;
        let transmit_time = Span((bytes as f64 * BITS / self.bits_per_second * 1e6) as u64);
        self.idle_at = self.idle_at.max(now) + transmit_time;
        self.idle_at
    }

    /// Queues `bytes` that the receiver awaits until `deadline` and returns the time at
    /// which the last of them arrives. Returns `None` if that is not before the deadline;
    /// what is left by then is not sent.
    pub(crate) fn send_before(
        &mut self,
        bytes: usize,
        deadline: Instant,
        now: Instant,
    ) -> Option<Instant> {
        let starts_at = self.idle_at.max(now);
        let sent_at = self.send(bytes, now);
        if sent_at < deadline {
            return Some(sent_at);
        }
        self.idle_at = starts_at.max(deadline);
        None
    }

    /// Returns the time that further bytes wait until they are sent.
    pub(crate) fn backlog(&self, now: Instant) -> Span {
        self.idle_at.since(now)
    }
}
