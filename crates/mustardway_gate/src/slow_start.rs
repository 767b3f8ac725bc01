//! How much the target may be given now.
//!
//! A cold target starts at its cold slots. Answers in time raise it by a part of a
//! slot each, never above a line that reaches the warm slots after the warm-up
//! time. A shed halves what it may be given; a new connection after a loss, or a
//! run of answers much slower than when warm, makes it cold at once. What a
//! health endpoint claims is no input here.

use mustardway_types::time;
use mustardway_view::model::Limits;

/// Slots that one answer in time adds at most.
const SLOTS_PER_ANSWER: f64 = 0.25;

/// Weight of one answer in the service time.
const SERVICE_TIME_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of one answer in the warm baseline.
const BASELINE_WEIGHT: f64 = 1.0 / 64.0;

/// An answer this many times slower than the baseline is slow.
const SLOW_FACTOR: f64 = 4.0;

/// Added to the baseline before the comparison, in microseconds.
const SLOW_MARGIN_MICROS: f64 = 5_000.0;

/// So many slow answers in a row make the target cold.
const SLOW_RUN_LENGTH: u32 = 5;

/// What a target may be given.
#[derive(Debug, Clone)]
pub struct SlowStart {
    level: f64,
    ramp_start: time::Instant,
    ramp_start_level: f64,
    halved_until: Option<time::Instant>,
    service_time: Option<f64>,
    baseline: Option<f64>,
    slow_run: u32,
    cold_resets: u64,
}

/// Warm slots as a level.
fn warm(limits: &Limits) -> f64 {
    f64::from(limits.slots.max(1))
}

/// Cold slots as a level.
fn cold(limits: &Limits) -> f64 {
    f64::from(limits.cold_slots.clamp(1, limits.slots.max(1)))
}

impl SlowStart {
    /// A cold target.
    pub fn new(now: time::Instant, limits: &Limits) -> Self {
        let level = cold(limits);
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

    /// A target at a given level, with what is known of its delay.
    pub fn restore(
        now: time::Instant,
        limits: &Limits,
        level: f64,
        service_time: Option<f64>,
        baseline: Option<f64>,
    ) -> Self {
        let mut slow_start = SlowStart::new(now, limits);
        let finite = if level.is_finite() { level } else { slow_start.level };
        slow_start.set_level(now, finite.clamp(slow_start.level, warm(limits)));
        slow_start.service_time = service_time.filter(|value| value.is_finite() && *value >= 0.0);
        slow_start.baseline = baseline.filter(|value| value.is_finite() && *value >= 0.0);
        slow_start
    }

    /// Holds the target at half of its slots until it could have warmed up.
    pub fn halve_for_warm_up(&mut self, now: time::Instant, limits: &Limits) {
        self.halved_until = Some(now + limits.warm_up);
    }

    /// Holds the target at half of its slots until `until`.
    pub fn halve_until(&mut self, until: time::Instant) {
        self.halved_until = Some(until);
    }

    /// Notes an answer in time that took `took`.
    pub fn record_success(&mut self, now: time::Instant, limits: &Limits, took: time::Span) {
        if self.record_duration(now, limits, took) {
            return;
        }
        let ramp_limit = self.ramp_limit(now, limits);
        self.level =
            (self.level + SLOTS_PER_ANSWER).min(ramp_limit).max(self.level).min(warm(limits));
    }

    /// Notes an answer that came too late.
    pub fn record_overrun(&mut self, now: time::Instant, limits: &Limits, took: time::Span) {
        self.record_duration(now, limits, took);
    }

    /// Notes that the target refused a request.
    pub fn record_shed(&mut self, now: time::Instant, limits: &Limits) {
        self.set_level(now, (self.level / 2.0).max(cold(limits)));
    }

    /// Takes the target for cold.
    pub fn reset_to_cold(&mut self, now: time::Instant, limits: &Limits) {
        self.set_level(now, cold(limits));
        self.slow_run = 0;
        self.cold_resets += 1;
    }

    /// Brings the level within changed limits.
    pub fn apply_limits(&mut self, now: time::Instant, limits: &Limits) {
        let level = self.level.clamp(cold(limits), warm(limits));
        if level != self.level {
            self.set_level(now, level);
        }
    }

    /// Lowers the level to that of another owner, if that is lower.
    pub fn lower_to(&mut self, now: time::Instant, limits: &Limits, level: f64) {
        if level.is_finite() && level < self.level {
            self.set_level(now, level.max(cold(limits)));
        }
    }

    /// Takes in one delay; returns whether it is slow.
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

    /// Greatest level that the warm-up time allows now.
    fn ramp_limit(&self, now: time::Instant, limits: &Limits) -> f64 {
        let span = limits.warm_up.as_seconds();
        if span <= 0.0 {
            return warm(limits);
        }
        let share = now.since(self.ramp_start).as_seconds() / span;
        self.ramp_start_level + (warm(limits) - cold(limits)) * share
    }

    /// Requests that may run now.
    pub fn allowed(&self, now: time::Instant, limits: &Limits) -> u32 {
        let ceiling = match self.halved_until {
            Some(until) if now < until => (limits.slots / 2).max(1),
            _ => limits.slots.max(1),
        };
        (self.level as u32).clamp(1, ceiling)
    }

    /// Whether the level is that of a warm target.
    pub fn is_warm(&self, limits: &Limits) -> bool {
        self.level >= warm(limits)
    }

    /// Times that the target was taken for cold again.
    pub fn cold_resets(&self) -> u64 {
        self.cold_resets
    }

    /// The level, in slots.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Until when the target is held at half of its slots.
    pub fn halved_until(&self) -> Option<time::Instant> {
        self.halved_until
    }

    /// Mean time of one request, in microseconds.
    pub fn service_time(&self) -> Option<f64> {
        self.service_time
    }

    /// Mean time of one request while warm, in microseconds.
    pub fn baseline(&self) -> Option<f64> {
        self.baseline
    }
}
