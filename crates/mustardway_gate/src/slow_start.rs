//! Slow start: the concurrency limit of a target as it warms up.
//!
//! A cold target starts at its cold slots. Every answer in time raises the
//! level by a fraction of a slot, up to a limit that grows linearly and reaches
//! the warm slots after the warm-up time. A shed request halves the level. A
//! new connection after a loss, or a run of answers much slower than those of
//! the warm target, resets the target to cold at once. The reports of a health
//! endpoint have no influence here.

use mustardway_types::time;
use mustardway_view::model::Limits;

/// Maximum number of slots by which one answer in time raises the level.
const SLOTS_PER_ANSWER: f64 = 0.25;

/// Weight of one answer in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of one answer in the moving average of the warm baseline.
const BASELINE_WEIGHT: f64 = 1.0 / 64.0;

/// An answer is slow if it takes longer than this multiple of the baseline plus
/// [`SLOW_MARGIN_MICROS`].
const SLOW_FACTOR: f64 = 4.0;

/// Constant part of the threshold for slow answers, in microseconds.
const SLOW_MARGIN_MICROS: f64 = 5_000.0;

/// Number of consecutive slow answers that reset the target to cold.
const SLOW_RUN_LENGTH: u32 = 5;

/// Concurrency limit of a target during and after its warm-up.
#[derive(Debug, Clone)]
pub struct SlowStart {
    level: f64,
    /// Time from which the limit of the level grows.
    ramp_start: time::Instant,
    /// Level at `ramp_start`.
    ramp_start_level: f64,
    halved_until: Option<time::Instant>,
    service_time: Option<f64>,
    baseline: Option<f64>,
    slow_run: u32,
    cold_resets: u64,
}

/// Returns the level of a warm target.
fn warm_level(limits: &Limits) -> f64 {
    f64::from(limits.slots.max(1))
}

/// Returns the level of a cold target.
fn cold_level(limits: &Limits) -> f64 {
    f64::from(limits.cold_slots.clamp(1, limits.slots.max(1)))
}

impl SlowStart {
    /// Creates the slow start of a cold target.
    pub fn new(now: time::Instant, limits: &Limits) -> Self {
        let level = cold_level(limits);
        SlowStart {
            level,
            ramp_start: now,
            ramp_start_level: level,
            halved_until: None,
            service_time: None,
            baseline: None,
            slow_run: 0,
            cold_resets: 0,
        }
    }

    /// Restores the level and the service times that another owner handed over.
    pub fn restore(
        now: time::Instant,
        limits: &Limits,
        level: f64,
        service_time: Option<f64>,
        baseline: Option<f64>,
    ) -> Self {
        let mut slow_start = SlowStart::new(now, limits);
        let finite = if level.is_finite() { level } else { slow_start.level };
        slow_start.set_level(now, finite.clamp(slow_start.level, warm_level(limits)));
        slow_start.service_time = service_time.filter(|value| value.is_finite() && *value >= 0.0);
        slow_start.baseline = baseline.filter(|value| value.is_finite() && *value >= 0.0);
        slow_start
    }

    /// Holds the target at half of its slots for one warm-up time.
    pub fn halve_for_warm_up(&mut self, now: time::Instant, limits: &Limits) {
        self.halved_until = Some(now + limits.warm_up);
    }

    /// Holds the target at half of its slots until `until`.
    pub fn halve_until(&mut self, until: time::Instant) {
        self.halved_until = Some(until);
    }

    /// Records an answer that came in time and took `took`.
    pub fn record_success(&mut self, now: time::Instant, limits: &Limits, took: time::Span) {
        if self.record_duration(now, limits, took) {
            return;
        }
        let ramp_limit = self.ramp_limit(now, limits);
        self.level =
            (self.level + SLOTS_PER_ANSWER).min(ramp_limit).max(self.level).min(warm_level(limits));
    }

    /// Records an answer that came too late.
    pub fn record_overrun(&mut self, now: time::Instant, limits: &Limits, took: time::Span) {
        self.record_duration(now, limits, took);
    }

    /// Records that the target refused a request.
    pub fn record_shed(&mut self, now: time::Instant, limits: &Limits) {
        self.set_level(now, (self.level / 2.0).max(cold_level(limits)));
    }

    /// Resets the target to cold.
    pub fn reset_to_cold(&mut self, now: time::Instant, limits: &Limits) {
        self.set_level(now, cold_level(limits));
        self.slow_run = 0;
        self.cold_resets += 1;
    }

    /// Clamps the level to changed limits.
    pub fn apply_limits(&mut self, now: time::Instant, limits: &Limits) {
        let level = self.level.clamp(cold_level(limits), warm_level(limits));
        if level != self.level {
            self.set_level(now, level);
        }
    }

    /// Lowers the level to that of another owner, if that one is lower.
    pub fn lower_to(&mut self, now: time::Instant, limits: &Limits, level: f64) {
        if level.is_finite() && level < self.level {
            self.set_level(now, level.max(cold_level(limits)));
        }
    }

    /// Records the duration of a call and returns whether it is slow.
    fn record_duration(&mut self, now: time::Instant, limits: &Limits, took: time::Span) -> bool {
        let took = took.0 as f64;
        let service_time = self.service_time.unwrap_or(took);
        self.service_time = Some(service_time + (took - service_time) * SERVICE_TIME_WEIGHT);
        let Some(baseline) = self.baseline else {
            if self.is_warm(limits) {
                self.baseline = self.service_time;
            }
            return false;
        };
        self.baseline = Some(baseline + (took - baseline) * BASELINE_WEIGHT);
        if took <= baseline * SLOW_FACTOR + SLOW_MARGIN_MICROS {
            self.slow_run = 0;
            return false;
        }
        self.slow_run += 1;
        if self.slow_run >= SLOW_RUN_LENGTH {
            self.reset_to_cold(now, limits);
        }
        true
    }

    fn set_level(&mut self, now: time::Instant, level: f64) {
        self.level = level;
        self.ramp_start = now;
        self.ramp_start_level = level;
    }

    /// Returns the highest level that the warm-up time allows now.
    fn ramp_limit(&self, now: time::Instant, limits: &Limits) -> f64 {
        let span = limits.warm_up.as_seconds();
        if span <= 0.0 {
            return warm_level(limits);
        }
        let share = now.since(self.ramp_start).as_seconds() / span;
        self.ramp_start_level + (warm_level(limits) - cold_level(limits)) * share
    }

    /// Returns the number of requests that may run at the same time now.
    pub fn allowed(&self, now: time::Instant, limits: &Limits) -> u32 {
        let ceiling = match self.halved_until {
            Some(until) if now < until => (limits.slots / 2).max(1),
            _ => limits.slots.max(1),
        };
        (self.level as u32).clamp(1, ceiling)
    }

    /// Returns whether the level is that of a warm target.
    pub fn is_warm(&self, limits: &Limits) -> bool {
        self.level >= warm_level(limits)
    }

    /// Returns the number of times that the target was reset to cold.
    pub fn cold_resets(&self) -> u64 {
        self.cold_resets
    }

    /// Returns the level, in slots.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns the time until which the target is held at half of its slots.
    pub fn halved_until(&self) -> Option<time::Instant> {
        self.halved_until
    }

    /// Returns the mean service time of a request, in microseconds.
    pub fn service_time(&self) -> Option<f64> {
        self.service_time
    }

    /// Returns the mean service time of a request at the warm target, in microseconds.
    pub fn baseline(&self) -> Option<f64> {
        self.baseline
    }
}
