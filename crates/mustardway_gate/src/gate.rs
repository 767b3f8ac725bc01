//! The state of one target and its settings.

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

/// Seed of the hashes in the filter, the same at every instance.
const FILTER_SEED: u64 = 0x6d75_7374_6172_6477;

/// Slots from which a share is kept for urgent requests.
const MIN_SHARED_SLOTS: u32 = 8;

/// The share of slots kept for urgent requests is one part in this.
const URGENT_SLOT_DIVISOR: u32 = 8;

/// Shortest time after which a refused caller is asked to come back.
const RETRY_AFTER_MIN: time::Span = time::Span::millis(50);

/// Longest time after which a refused caller is asked to come back, before the spread.
const RETRY_AFTER_MAX: time::Span = time::Span::seconds(5);

/// Callers come back between once and this many times the base time.
const RETRY_AFTER_SPREAD: u64 = 3;

/// Everything that the owner decides about one target.
#[derive(Debug)]
pub struct Gate {
    pub(crate) target: target::Id,
    pub(crate) instance: instance::Id,
    pub(crate) limits: Limits,
    pub(crate) ownership: Ownership,
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
    /// A gate of `target` at `instance`, for a cold target.
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

    /// Replaces the limits of the target.
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

    /// Sets whether the target takes new flows.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Tells the mean load of the service's targets, as by [`Gate::load_fraction`].
    pub fn set_mean_load(&mut self, mean: f64) {
        self.mean_load = mean.is_finite().then_some(mean);
    }

    /// Takes in something seen of the target apart from its answers.
    pub fn observe(&mut self, now: time::Instant, observation: Observation) {
        match observation {
            Observation::Reconnected => self.slow_start.reset_to_cold(now, &self.limits),
            Observation::HealthFailed => self.unhealthy = true,
            Observation::HealthOk => self.unhealthy = false,
        }
    }

    /// Tells that another instance may have served this target up to now.
    pub fn mark_history_incomplete(&mut self, now: time::Instant) {
        self.dedup.mark_incomplete(now);
    }

    /// Tells whether another instance may serve this target at the same time, such as in a
    /// split failure domain: a repeated request is then not taken for one that has not run.
    pub fn set_contested(&mut self, now: time::Instant, contested: bool) {
        self.dedup.set_contested(now, contested);
    }

    /// Tells that an instance is lost: what it ran for this target has no known outcome.
    pub fn mark_instance_lost(&mut self, lost: &instance::Id) {
        self.dedup.mark_instance_lost(lost);
    }

    /// Tells that a flow which was refused here was placed on another target.
    pub fn record_placement(&mut self, now: time::Instant, flow: flow::Id, target: target::Id) {
        if self.flows.get(flow).is_some() {
            return;
        }
        self.placements.set(now, flow, Placement::Placed(target));
    }

    /// Tells that a request which was refused here was placed on no target, and that its
    /// caller is told so for this attempt.
    pub fn record_no_placement(&mut self, now: time::Instant, key: Key, attempt: u32) {
        let placement = self.placements.get(now, key.flow);
        let fresh = matches!(placement, Some(Placement::Refused { refusal, .. }) if refusal.fresh);
        if self.placements.settle_report(key.flow) && fresh {
            self.dedup.record(now, key, Entry::NotRun { attempt });
        }
    }

    /// A refusal with a time to come back that differs from caller to caller.
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

    /// Mean time of one request; zero while unknown.
    pub(crate) fn service_time(&self) -> time::Span {
        time::Span(self.slow_start.service_time().unwrap_or(0.0) as u64)
    }

    /// Whether a request of this urgency may start now.
    pub(crate) fn can_start(&self, now: time::Instant, urgency: request::Urgency) -> bool {
        let allowed = self.slow_start.allowed(now, &self.limits);
        if self.jobs.running() + self.running_elsewhere(now) >= allowed {
            return false;
        }
        urgency == request::Urgency::Urgent
            || self.jobs.running_ordinary() < ordinary_slots(allowed)
    }

    /// Requests that earlier owners still run.
    pub(crate) fn running_elsewhere(&self, now: time::Instant) -> u32 {
        let live = self.remote_runs.iter().filter(|run| run.until > now).count();
        u32::try_from(live).unwrap_or(u32::MAX)
    }
}

/// Slots that ordinary requests may take.
fn ordinary_slots(allowed: u32) -> u32 {
    if allowed < MIN_SHARED_SLOTS {
        return allowed;
    }
    allowed - allowed / URGENT_SLOT_DIVISOR
}
