//! The gate of one target: its state and its settings.

use mustardway_types::{answer, flow, instance, request, target, time};
use mustardway_view::model::Limits;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::counter::Counters;
use crate::dedup::{Cache, Entry};
use crate::finish::{Observation, Step};
use crate::flow_table;
use crate::job;
use crate::key::Key;
use crate::ownership::Ownership;
use crate::placement::{self, Placement};
use crate::queue::Queue;
use crate::slow_start::SlowStart;
use crate::transfer::{LateOutcomes, Reassembly, RemoteRun};

/// Seed of the hashes in the Bloom filter. It is the same at every instance, because filters are
/// handed over.
const FILTER_SEED: u64 = 0x6d75_7374_6172_6477;

/// Minimum number of allowed slots at which a share is reserved for urgent requests.
const MIN_SHARED_SLOTS: u32 = 8;

/// The allowed slots divided by this are reserved for urgent requests.
const URGENT_SLOT_DIVISOR: u32 = 8;

/// Shortest retry-after time of a refusal.
const RETRY_AFTER_MIN: time::Span = time::Span::millis(50);

/// Longest retry-after time of a refusal, before the spread is applied.
const RETRY_AFTER_MAX: time::Span = time::Span::seconds(5);

/// The retry-after time is drawn between the base time and this multiple of it.
const RETRY_AFTER_SPREAD: u64 = 3;

/// Admission control for one target, held by the target's owner.
#[derive(Debug)]
pub struct Gate {
    pub(crate) target: target::Id,
    pub(crate) instance: instance::Id,
    pub(crate) limits: Limits,
    pub(crate) ownership: Ownership,
    /// Time at which the gate last became pending.
    pub(crate) pending_since: time::Instant,
    pub(crate) random: Pcg32,
    pub(crate) flows: flow_table::Table,
    pub(crate) placements: placement::Table,
    pub(crate) dedup: Cache,
    pub(crate) jobs: job::Table,
    pub(crate) queue: Queue,
    pub(crate) slow_start: SlowStart,
    pub(crate) remote_runs: Vec<RemoteRun>,
    pub(crate) reassembly: Reassembly,
    pub(crate) late_outcomes: LateOutcomes,
    pub(crate) announcements_until: Option<time::Instant>,
    pub(crate) mean_load: Option<f64>,
    pub(crate) leaving: bool,
    pub(crate) domain_out: bool,
    pub(crate) unhealthy: bool,
    pub(crate) counters: Counters,
}

impl Gate {
    /// Creates the gate of `target` at `instance`. The target counts as cold.
    pub fn new(
        target: target::Id,
        instance: instance::Id,
        limits: Limits,
        ownership: Ownership,
        seed: u64,
        now: time::Instant,
    ) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let table_seed: u64 = random.random();
        let complete_since = match ownership {
            Ownership::Serving { since, .. } => since,
            _ => now,
        };
        Gate {
            target,
            instance,
            ownership,
            pending_since: now,
            flows: flow_table::Table::new(table_seed),
            placements: placement::Table::new(table_seed),
            dedup: Cache::new(table_seed, FILTER_SEED, complete_since),
            jobs: job::Table::new(table_seed),
            queue: Queue::new(),
            slow_start: SlowStart::new(now, &limits),
            limits,
            random,
            remote_runs: Vec::new(),
            reassembly: Reassembly::default(),
            late_outcomes: LateOutcomes::default(),
            announcements_until: None,
            mean_load: None,
            leaving: false,
            domain_out: false,
            unhealthy: false,
            counters: Counters::default(),
        }
    }

    /// Replaces the limits of the target, and evicts queued requests that exceed the new queue
    /// limit.
    pub fn set_limits(&mut self, now: time::Instant, limits: Limits, steps: &mut Vec<Step>) {
        self.limits = limits;
        self.slow_start.apply_limits(now, &self.limits);
        while self.queue.len() > self.limits.queue as usize {
            let Some(waiter) = self.queue.evict().or_else(|| self.queue.evict_urgent()) else {
                break;
            };
            self.finish_unrun(now, waiter.ticket, answer::Reason::Full, steps);
        }
        self.start_next(now, steps);
    }

    /// Sets whether the target is leaving and takes no new flows.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Sets the mean load of the service's targets, in the unit of [`Gate::load_fraction`].
    pub fn set_mean_load(&mut self, mean: f64) {
        self.mean_load = mean.is_finite().then_some(mean);
    }

    /// Applies an event about the target other than an answer.
    pub fn observe(&mut self, now: time::Instant, observation: Observation) {
        match observation {
            Observation::Reconnected => self.slow_start.reset_to_cold(now, &self.limits),
            Observation::HealthFailed => self.unhealthy = true,
            Observation::HealthOk => self.unhealthy = false,
        }
    }

    /// Records that another instance may have served this target up to now.
    pub fn mark_history_incomplete(&mut self, now: time::Instant) {
        self.dedup.mark_incomplete(now);
    }

    /// Sets whether another instance may serve this target at the same time, for example in a
    /// split failure domain. A retry is then never taken for a request that has not run.
    pub fn set_contested(&mut self, now: time::Instant, contested: bool) {
        self.dedup.set_contested(now, contested);
    }

    /// Records that an instance is lost. The outcomes of the requests that it ran for this target
    /// are unknown.
    pub fn mark_instance_lost(&mut self, lost: &instance::Id) {
        self.dedup.mark_instance_lost(lost);
    }

    /// Records that a flow which was refused here was opened on another target.
    pub fn record_placement(&mut self, now: time::Instant, flow: flow::Id, target: target::Id) {
        if self.flows.get(flow).is_some() {
            return;
        }
        self.placements.set(now, flow, Placement::Placed(target));
    }

    /// Records that a request which was refused here was placed on no target, and that its caller
    /// is told "not run" for this attempt.
    pub fn record_no_placement(&mut self, now: time::Instant, key: Key, attempt: u32) {
        let placement = self.placements.get(now, key.flow);
        let fresh = matches!(placement, Some(Placement::Refused { refusal, .. }) if refusal.fresh);
        if self.placements.settle_report(key.flow) && fresh {
            self.dedup.record(now, key, Entry::NotRun { attempt });
        }
    }

    /// Returns a refusal with a random retry-after time, so that refused callers do not come back
    /// at the same time.
    pub(crate) fn refusal_answer(
        &mut self,
        now: time::Instant,
        reason: answer::Reason,
    ) -> answer::Answer {
        let waiting = self.queue.len() as u64 + 1;
        let drain = time::Span(self.service_time().0.saturating_mul(waiting));
        let slots = u64::from(self.slow_start.allowed(now, &self.limits));
        let base = time::Span(drain.0 / slots).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        let spread = self.random.random_range(base.0..=base.0 * RETRY_AFTER_SPREAD);
        answer::Answer::come_back(reason, time::Span(spread))
    }

    /// Returns the mean service time of a request, or zero if it is not known yet.
    pub(crate) fn service_time(&self) -> time::Span {
        time::Span(self.slow_start.service_time().unwrap_or(0.0) as u64)
    }

    /// Returns whether a request of this urgency may start now.
    pub(crate) fn can_start(&self, now: time::Instant, urgency: request::Urgency) -> bool {
        let allowed = self.slow_start.allowed(now, &self.limits);
        if self.jobs.running() + self.running_elsewhere(now) >= allowed {
            return false;
        }
        urgency == request::Urgency::Urgent
            || self.jobs.running_ordinary() < ordinary_slots(allowed)
    }

    /// Returns the number of requests that earlier owners still run.
    pub(crate) fn running_elsewhere(&self, now: time::Instant) -> u32 {
        let live = self.remote_runs.iter().filter(|run| run.until > now).count();
        u32::try_from(live).unwrap_or(u32::MAX)
    }
}

/// Returns the number of slots that ordinary requests may take.
fn ordinary_slots(allowed: u32) -> u32 {
    if allowed < MIN_SHARED_SLOTS {
        return allowed;
    }
    allowed - allowed / URGENT_SLOT_DIVISOR
}
