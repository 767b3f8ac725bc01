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
const STEP: f64 = 0.25;

/// Weight of one answer in the service time.
const SERVICE_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of one answer in the warm baseline.
const BASELINE_WEIGHT: f64 = 1.0 / 64.0;

/// An answer this many times slower than the baseline is slow.
const SLOW_FACTOR: f64 = 4.0;

/// Added to the baseline before the comparison, in microseconds.
const SLOW_FLOOR: f64 = 5_000.0;

/// So many slow answers in a row make the target cold.
const SLOW_RUN: u32 = 5;

/// What a target may be given.
#[derive(Debug, Clone)]
pub struct Ramp {
    level: f64,
    anchor: time::Instant,
    anchor_level: f64,
    reduced_until: Option<time::Instant>,
    service: Option<f64>,
    baseline: Option<f64>,
    slow_run: u32,
    chills: u64,
}

/// Warm slots as a level.
fn warm(limits: &Limits) -> f64 {
    f64::from(limits.slots.max(1))
}

/// Cold slots as a level.
fn cold(limits: &Limits) -> f64 {
    f64::from(limits.cold_slots.clamp(1, limits.slots.max(1)))
}

impl Ramp {
    /// A cold target.
    pub fn new(now: time::Instant, limits: &Limits) -> Self {
        let level = cold(limits);
        Ramp {
            level,
            anchor: now,
            anchor_level: level,
            reduced_until: None,
            service: None,
            baseline: None,
            slow_run: 0,
            chills: 0,
        }
    }

    /// A target at a given level, with what is known of its delay.
    pub fn restore(
        now: time::Instant,
        limits: &Limits,
        level: f64,
        service: Option<f64>,
        baseline: Option<f64>,
    ) -> Self {
        let mut ramp = Ramp::new(now, limits);
        let finite = if level.is_finite() { level } else { ramp.level };
        ramp.set_level(now, finite.clamp(ramp.level, warm(limits)));
        ramp.service = service.filter(|value| value.is_finite() && *value >= 0.0);
        ramp.baseline = baseline.filter(|value| value.is_finite() && *value >= 0.0);
        ramp
    }

    /// Holds the target at half of its slots until it could have warmed up.
    pub fn reduce(&mut self, now: time::Instant, limits: &Limits) {
        self.reduced_until = Some(now + limits.warm_up);
    }

    /// Holds the target at half of its slots until `until`.
    pub fn reduce_until(&mut self, until: time::Instant) {
        self.reduced_until = Some(until);
    }

    /// Notes an answer in time that took `took`.
    pub fn success(&mut self, now: time::Instant, limits: &Limits, took: time::Span) {
        if self.sample(now, limits, took) {
            return;
        }
        let line = self.line(now, limits);
        self.level = (self.level + STEP).min(line).max(self.level).min(warm(limits));
    }

    /// Notes an answer that came too late.
    pub fn overrun(&mut self, now: time::Instant, limits: &Limits, took: time::Span) {
        self.sample(now, limits, took);
    }

    /// Notes that the target refused a request.
    pub fn shed(&mut self, now: time::Instant, limits: &Limits) {
        self.set_level(now, (self.level / 2.0).max(cold(limits)));
    }

    /// Takes the target for cold.
    pub fn chill(&mut self, now: time::Instant, limits: &Limits) {
        self.set_level(now, cold(limits));
        self.slow_run = 0;
        self.chills += 1;
    }

    /// Brings the level within changed limits.
    pub fn adapt(&mut self, now: time::Instant, limits: &Limits) {
        let level = self.level.clamp(cold(limits), warm(limits));
        if level != self.level {
            self.set_level(now, level);
        }
    }

    /// Lowers the level to that of another owner, if that is lower.
    pub fn lower(&mut self, now: time::Instant, limits: &Limits, level: f64) {
        if level.is_finite() && level < self.level {
            self.set_level(now, level.max(cold(limits)));
        }
    }

    /// Takes in one delay; returns whether it is slow.
    fn sample(&mut self, now: time::Instant, limits: &Limits, took: time::Span) -> bool {
        let took = took.0 as f64;
        let service = self.service.unwrap_or(took);
        self.service = Some(service + (took - service) * SERVICE_WEIGHT);
        let Some(baseline) = self.baseline else {
            if self.is_warm(limits) {
                self.baseline = self.service;
            }
            return false;
        };
        self.baseline = Some(baseline + (took - baseline) * BASELINE_WEIGHT);
        if took <= baseline * SLOW_FACTOR + SLOW_FLOOR {
            self.slow_run = 0;
            return false;
        }
        self.slow_run += 1;
        if self.slow_run >= SLOW_RUN {
            self.chill(now, limits);
        }
        true
    }

    fn set_level(&mut self, now: time::Instant, level: f64) {
        self.level = level;
        self.anchor = now;
        self.anchor_level = level;
    }

    /// Greatest level that the warm-up time allows now.
    fn line(&self, now: time::Instant, limits: &Limits) -> f64 {
        let span = limits.warm_up.as_seconds();
        if span <= 0.0 {
            return warm(limits);
        }
        let share = now.since(self.anchor).as_seconds() / span;
        self.anchor_level + (warm(limits) - cold(limits)) * share
    }

    /// Requests that may run now.
    pub fn allowed(&self, now: time::Instant, limits: &Limits) -> u32 {
        let ceiling = match self.reduced_until {
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
    pub fn chills(&self) -> u64 {
        self.chills
    }

    /// The level, in slots.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Until when the target is held at half of its slots.
    pub fn reduced_until(&self) -> Option<time::Instant> {
        self.reduced_until
    }

    /// Mean time of one request, in microseconds.
    pub fn service(&self) -> Option<f64> {
        self.service
    }

    /// Mean time of one request while warm, in microseconds.
    pub fn baseline(&self) -> Option<f64> {
        self.baseline
    }
}
