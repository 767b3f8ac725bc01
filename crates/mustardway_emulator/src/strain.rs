//! Instances and targets that run late, and packets that are lost because nobody reads
//! them in time.
//!
//! A quota of the processor lets an instance run for a part of each period only. What
//! arrives in the rest waits. When the instance runs again, it handles the messages that
//! arrived earlier before it reads packets, as the event loop of an instance does.

use std::collections::BTreeMap;

use mustardway_flow::health::Outcome;
use mustardway_types::hash;
use mustardway_types::time::{Instant, Span};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::disruption::FollowUp;
use crate::world::{Event, World};

/// Order in which an instance handles what waited, after it runs again.
const FIRST: Span = Span(0);
const MESSAGES: Span = Span(1);
const PACKETS: Span = Span(2);
/// Seed of the hash that chooses the crowded periods.
const CROWDED_SEED: u64 = 0x6372_6f77_6465_6401;
/// Seed of the hash that chooses the lost packets.
const DROPPED_SEED: u64 = 0x6472_6f70_7065_6401;
/// Time within which the packets of one flow are lost together.
const DROP_SLOT: Span = Span::millis(20);
/// Shortest time for which a target stands still.
const STILL_MIN: Span = Span::millis(150);
/// Stream of the random numbers that only these disruptions use.
const STREAM: u64 = 4;

/// The quota of one instance's processor.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Quota {
    /// Start of the first period.
    pub(crate) from: Instant,
    pub(crate) until: Instant,
    /// Part of each period in which the instance runs.
    pub(crate) run: Span,
    pub(crate) period: Span,
    /// Share of the periods in which the messages take the whole of `run`.
    pub(crate) crowded: f64,
}

impl Quota {
    /// Returns the start of the next period if the instance does not handle packets now,
    /// or does not handle messages now.
    fn resumes(&self, host: usize, is_packet: bool, now: Instant) -> Option<Instant> {
        if now < self.from || now >= self.until {
            return None;
        }
        let passed = now.since(self.from).0;
        let in_period = passed % self.period.0;
        let number = passed / self.period.0;
        let is_crowded = || hash::unit(self.hash(host, number)) < self.crowded;
        let stands_still = in_period >= self.run.0 || (is_packet && is_crowded());
        stands_still.then(|| now + Span(self.period.0 - in_period))
    }

    /// Returns whether the timer comes before the packets in the period that begins at
    /// `start`. The event loop chooses between them at random.
    fn is_tick_first(&self, host: usize, start: Instant) -> bool {
        let number = start.since(self.from).0 / self.period.0;
        self.hash(host, number).is_multiple_of(2)
    }

    fn hash(&self, host: usize, number: u64) -> u64 {
        hash::mix(hash::mix(CROWDED_SEED, self.from.since(Instant::default()).0), {
            (host as u64) << 32 | number
        })
    }
}

/// What runs late now.
#[derive(Debug)]
pub(crate) struct Strain {
    quotas: BTreeMap<usize, Quota>,
    /// Times until which targets stand still.
    still: BTreeMap<usize, Instant>,
    /// Times until which the routers' checks of instances go unanswered.
    unchecked: BTreeMap<usize, Instant>,
    /// Share of the callers' packets that are lost, and until when.
    drops: (f64, Instant),
    /// Whether anything has run late. Targets repeat their answers to opening packets
    /// from then on, and instances tell their peers when they leave.
    pub(crate) is_used: bool,
    rng: Pcg32,
}

impl Strain {
    /// Creates the state in which everything runs in time.
    pub(crate) fn new(seed: u64) -> Self {
        Strain {
            quotas: BTreeMap::new(),
            still: BTreeMap::new(),
            unchecked: BTreeMap::new(),
            drops: (0.0, Instant::default()),
            is_used: false,
            rng: Pcg32::new(Pcg32::seed_from_u64(seed).random(), STREAM),
        }
    }

    /// Returns whether the routers' check of an instance is answered.
    pub(crate) fn answers_checks(&self, host: usize, now: Instant) -> bool {
        self.unchecked.get(&host).is_none_or(|until| now >= *until)
    }

    /// Returns whether a packet of a flow is lost now.
    pub(crate) fn drops(&self, flow: u32, now: Instant) -> bool {
        let (share, until) = self.drops;
        if now >= until {
            return false;
        }
        let slot = now.since(Instant::default()).0 / DROP_SLOT.0;
        hash::unit(hash::mix(hash::mix(DROPPED_SEED, u64::from(flow)), slot)) < share
    }

    /// Returns whether a target stands still at the given time.
    pub(crate) fn stands_still(&self, target: usize, at: Instant) -> bool {
        self.still.get(&target).is_some_and(|until| at < *until)
    }
}

impl World {
    /// Lets the routers' checks of an instance go unanswered.
    pub(crate) fn leave_unchecked(&mut self, host: usize, lasts: Span) {
        self.strain.unchecked.insert(host, self.now + lasts);
    }

    /// Begins to lose a share of the callers' packets.
    pub(crate) fn begin_drops(&mut self, share: f64, lasts: Span) {
        self.strain.drops = (share, self.now + lasts);
        self.strain.is_used = true;
    }

    /// Limits the processor of an instance. Each instance has a phase of its own.
    pub(crate) fn throttle(&mut self, host: usize, quota: Quota) {
        let phase = Span(self.strain.rng.random_range(0..quota.period.0));
        let quota = Quota { from: quota.from + phase, ..quota };
        self.strain.quotas.insert(host, quota);
        self.strain.is_used = true;
    }

    /// Lets a target stand still for a moment, and again about every `gap`.
    pub(crate) fn stutter(&mut self, target: usize, gap: Span, longest: Span, until: Instant) {
        if self.now >= until {
            return;
        }
        let lasts = Span(self.strain.rng.random_range(STILL_MIN.0..=longest.0));
        self.strain.still.insert(target, self.now + lasts);
        self.strain.is_used = true;
        let next = lasts + Span(self.strain.rng.random_range(gap.0 / 2..gap.0 * 2));
        self.schedule(next, FollowUp::Stutter { target, gap, longest, until });
    }

    /// Returns an event that is handled now. Defers one whose instance or target does not
    /// run.
    pub(crate) fn defer_if_late(&mut self, mut event: Event) -> Option<Event> {
        let Some(at) = self.late_until(&event) else { return Some(event) };
        if let Event::ProbeResult { deadline, outcome, .. } = &mut event
            && at >= *deadline
        {
            *outcome = Outcome::Silent;
        }
        self.queue.add(at, event);
        None
    }

    /// Returns the time at which an event is handled if that is not now.
    fn late_until(&self, event: &Event) -> Option<Instant> {
        let (host, is_packet) = match event {
            Event::ToHost { host, .. } => (*host, true),
            Event::Tick { host, .. } | Event::ProbeResult { host, .. } => (*host, false),
            Event::Frame { to, .. } => (*to, false),
            Event::PlatformAnswer(call, _) => (call.host, false),
            Event::ToTarget { target, .. }
            | Event::RepeatAnswer { target, .. }
            | Event::RequestDone { target, .. } => {
                return self.strain.still.get(target).copied().filter(|until| self.now < *until);
            }
            _ => return None,
        };
        let quota = self.strain.quotas.get(&host).filter(|_| self.hosts[host].alive)?;
        let is_tick = matches!(event, Event::Tick { .. });
        let start = quota.resumes(host, is_packet, self.now)?;
        let order = match is_packet {
            true => PACKETS,
            false if is_tick && quota.is_tick_first(host, start) => FIRST,
            false => MESSAGES,
        };
        Some(start + order)
    }
}
