//! Congestion of one service, from the requests that one instance sends to it.
//!
//! It answers a step in demand, or a loss of targets, after which a service is asked for up to
//! four times what its targets can serve.
//!
//! The mean time that requests spend at targets follows from Little's law: the mean number of
//! requests in progress divided by the rate at which they are answered. It rises as soon as
//! requests pile up and falls as soon as they are worked off, while the times of the answers
//! show the queue as it was one answer earlier. Each instance measures it by its own requests,
//! since messages would come too late.
//!
//! Targets that are slow or failing show no queue: requests take long there, or fail, also
//! without one. The other targets are the reference.
//!
//! Once requests wait too long, as many are admitted as are answered, with a correction that
//! brings the wait to a set point. The rate of answers is the capacity as it is now, so no
//! assumption about slots or speeds enters. The set point lies well below the wait at which
//! refusing begins: a single threshold for both would switch refusing on and off, since the
//! wait shows a change only after a service time. Refusing ends with its cause, when the queues
//! are empty.

use mustardway_types::time::{Instant, Span};

use crate::callers::RETRIES;

/// Least time over which rates are taken, and number of answers if these take longer.
const RATE_WINDOW: Window = Window { time: Span::millis(200), answers: 30.0 };
/// The same for the number of requests in progress, which is to show a change at once.
const PROGRESS_WINDOW: Window = Window { time: Span::millis(100), answers: 10.0 };
/// Time constant of the usual rate of wanted requests. The fleet's load is known about as late.
const USUAL_TIME_CONSTANT: Span = Span::seconds(1);
/// Number of answers from which on the means count.
const ANSWERS_MIN: f64 = 8.0;
/// Wait above which refusing begins, as a share of what the target latency leaves for waiting.
/// The times of single requests spread around the mean.
const SLACK_SHARE: f64 = 0.35;
/// Greatest part by which the set point is below the threshold.
const SET_POINT_REDUCTION: f64 = 0.55;
/// Requests in progress between which their number becomes certain. The wait that fewer show is
/// mostly chance.
const CERTAIN: (f64, f64) = (8.0, 12.0);
/// Waits between which the refused part of the excess rises from none to all, as shares of the
/// threshold.
const GATE: (f64, f64) = (0.8, 1.0);
/// Time constant with which the refused part falls again below these waits. It is long, so that
/// the wait stays near the set point in steady overload.
const GATE_TIME_CONSTANT: Span = Span::seconds(1);
/// Wait below which queues count as empty, as a share of the set point.
const EMPTY_SHARE: f64 = 0.5;
/// Time constant with which the refused part falls while queues are empty.
const EMPTY_TIME_CONSTANT: Span = Span::millis(100);
/// Least correction of the admitted load, as a share of the answered load: a queue is worked
/// off without refusing urgent requests as well.
const CORRECTION_MIN: f64 = 0.7;
/// Weight of the share that the whole fleet gets served, against the own one. Without it, an
/// instance that once had a smaller share would keep it.
const FLEET_WEIGHT: f64 = 0.85;
/// Shares of rejections by full targets between which the refused part rises in the same way.
/// Callers' retries make up for fewer.
const REJECTED_GATE: (f64, f64) = (0.05, 0.2);
/// Weight of a new value in the wait at which targets reject requests.
const FULL_WAIT_WEIGHT: f64 = 0.1;
/// Greatest threshold, as a share of the wait at which targets reject requests.
const FULL_WAIT_SHARE: f64 = 0.5;
/// Least threshold in service times. Less cannot be told from chance.
const WAIT_MIN: f64 = 0.25;
/// Least threshold in service times where targets reject requests: a target whose slots are all
/// busy has a queue.
const FULL_WAIT_MIN: f64 = 1.0;
/// Time constant with which the wait at which targets reject requests is forgotten.
const FULL_WAIT_TIME_CONSTANT: Span = Span::seconds(5);

/// The time over which a mean is taken.
#[derive(Debug, Clone, Copy)]
struct Window {
    time: Span,
    answers: f64,
}

impl Window {
    /// Returns the factor by which sums decay while time passes and answers arrive. They are
    /// kept while there are no answers, so that the mean time rises.
    fn kept(&self, passed: f64, answers: f64) -> f64 {
        (-(passed / self.time.as_seconds()).min(answers / self.answers)).exp()
    }
}

/// Times of the requests to a service, weighted by their rates.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Times {
    /// Time that a request takes at a target without a queue.
    pub service: Span,
    /// Target latency.
    pub aim: Span,
}

/// Numbers of requests, decayed or since the latest update.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    requested: f64,
    refused: f64,
    answered: f64,
    /// Answers of reference targets, rejections included.
    reference: f64,
    /// Rejections by reference targets.
    rejected: f64,
}

impl Counts {
    /// Returns the number of requests that callers wanted, without the retries of refused
    /// ones.
    fn wanted(&self) -> f64 {
        self.requested + self.refused / f64::from(RETRIES + 1)
    }

    /// Returns the number of requests that targets have served.
    fn served(&self) -> f64 {
        (self.answered - self.rejected).max(1.0)
    }

    /// Returns the number of requests that reference targets have served.
    fn reference_served(&self) -> f64 {
        (self.reference - self.rejected).max(1.0)
    }
}

/// Congestion of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Congestion {
    recent: Counts,
    /// Decayed counts and time.
    counts: Counts,
    seconds: f64,
    /// Decayed integral of the number of requests in progress, and its time.
    in_progress: f64,
    in_progress_seconds: f64,
    updated: Option<Instant>,
    /// Usual number of wanted requests per second, if it is known.
    usual_rate: Option<f64>,
    /// Part of the excess that is refused, from 0 to 1.
    gate: f64,
    /// Wait in seconds at which targets lately rejected requests.
    full_wait: Option<f64>,
}

impl Congestion {
    /// Records that a request was sent to a target.
    pub fn record_request(&mut self) {
        self.recent.requested += 1.0;
    }

    /// Records that a flow was refused.
    pub fn record_refusal(&mut self) {
        self.recent.refused += 1.0;
    }

    /// Records an answer of a reference target or of another one.
    pub fn record_answer(&mut self, is_reference: bool) {
        self.recent.answered += 1.0;
        self.recent.reference += f64::from(u8::from(is_reference));
    }

    /// Records that an answer of a reference target was a rejection since it is full.
    pub fn record_rejection(&mut self) {
        self.recent.rejected += 1.0;
    }

    /// Adds the time since the latest update, in which `in_progress` requests were in progress at
    /// reference targets.
    pub fn update(&mut self, in_progress: u32, times: &Times, now: Instant) {
        let recent = std::mem::take(&mut self.recent);
        let Some(updated) = self.updated.replace(now) else { return };
        let passed = now.since(updated).as_seconds();
        let kept = RATE_WINDOW.kept(passed, recent.answered);
        self.counts.requested = self.counts.requested * kept + recent.requested;
        self.counts.refused = self.counts.refused * kept + recent.refused;
        self.counts.answered = self.counts.answered * kept + recent.answered;
        self.counts.reference = self.counts.reference * kept + recent.reference;
        self.counts.rejected = self.counts.rejected * kept + recent.rejected;
        self.seconds = self.seconds * kept + passed;
        let kept = PROGRESS_WINDOW.kept(passed, recent.answered);
        self.in_progress = self.in_progress * kept + f64::from(in_progress) * passed;
        self.in_progress_seconds = self.in_progress_seconds * kept + passed;
        self.update_full_wait(times, passed, recent.rejected > 0.0);
        self.update_gate(times, passed);
        self.update_usual_rate(recent.wanted() / passed.max(f64::EPSILON), passed);
    }

    /// Updates the refused part of the excess. It rises at once and is held for a while.
    fn update_gate(&mut self, times: &Times, passed: f64) {
        let wait = self.wait(times).unwrap_or_default();
        let is_empty = wait < self.set_point(times) * EMPTY_SHARE;
        let time_constant = match is_empty {
            true => EMPTY_TIME_CONSTANT.as_seconds(),
            // With few requests in progress the greatest wait of a second is chance.
            false => GATE_TIME_CONSTANT.as_seconds() * self.confidence(),
        };
        let held = self.gate * (-passed / time_constant.max(f64::EPSILON)).exp();
        let by_wait = ramp(wait / self.threshold(times), GATE);
        let by_rejections = ramp(self.rejected_share(), REJECTED_GATE);
        self.gate = by_wait.max(by_rejections).max(held);
    }

    fn update_usual_rate(&mut self, rate: f64, passed: f64) {
        let usual = self.usual_rate.get_or_insert(rate);
        *usual += (rate - *usual) * (1.0 - (-passed / USUAL_TIME_CONSTANT.as_seconds()).exp());
    }

    /// Returns the factor by which callers lately want more requests than usual, at least 1 and
    /// as far as it is certain.
    pub fn growth(&self) -> f64 {
        let usual = self.usual_rate.unwrap_or_default();
        if usual <= 0.0 || self.seconds <= 0.0 {
            return 1.0;
        }
        let growth = (self.counts.wanted() / self.seconds / usual).max(1.0);
        1.0 + (growth - 1.0) * self.confidence()
    }

    fn update_full_wait(&mut self, times: &Times, passed: f64, has_rejections: bool) {
        if let Some(full_wait) = &mut self.full_wait {
            *full_wait *= (passed / FULL_WAIT_TIME_CONSTANT.as_seconds()).exp();
        }
        let is_full = has_rejections && self.rejected_share() > REJECTED_GATE.0;
        if let Some(wait) = self.wait(times).filter(|_| is_full) {
            // A full target has a queue, also where the wait seems to be zero.
            let wait = wait.max(times.service.as_seconds());
            let known = self.full_wait.unwrap_or(wait);
            self.full_wait = Some(known + (wait - known) * FULL_WAIT_WEIGHT);
        }
    }

    fn rejected_share(&self) -> f64 {
        self.counts.rejected / self.counts.reference.max(1.0)
    }

    /// Returns the mean time until a reference target has served a request, if it is known.
    pub fn time(&self) -> Option<Span> {
        const MICROS_PER_SECOND: f64 = 1e6;
        if self.counts.reference < ANSWERS_MIN {
            return None;
        }
        let rate = self.counts.reference_served() / self.seconds;
        Some(Span((self.mean_in_progress() / rate * MICROS_PER_SECOND) as u64))
    }

    /// Returns the mean wait of a request in the queue of a target, in seconds.
    fn wait(&self, times: &Times) -> Option<f64> {
        Some(self.time()?.saturating_sub(times.service).as_seconds())
    }

    /// Returns how far the wait is known beyond chance, from 0 to 1.
    fn confidence(&self) -> f64 {
        ramp(self.mean_in_progress(), CERTAIN)
    }

    /// Returns the mean number of requests in progress.
    fn mean_in_progress(&self) -> f64 {
        self.in_progress / self.in_progress_seconds.max(f64::EPSILON)
    }

    /// Returns the wait, in seconds, above which refusing begins: requests are then late or
    /// rejected.
    fn threshold(&self, times: &Times) -> f64 {
        let service = times.service.as_seconds();
        let slack = times.aim.saturating_sub(times.service).as_seconds();
        let in_time = (slack * SLACK_SHARE).max(service * WAIT_MIN);
        let Some(full_wait) = self.full_wait else { return in_time };
        in_time.min((full_wait * FULL_WAIT_SHARE).max(service * FULL_WAIT_MIN))
    }

    /// Returns the wait, in seconds, to which refusing leads. Few requests show the wait so late
    /// that a lower one would leave targets idle.
    fn set_point(&self, times: &Times) -> f64 {
        self.threshold(times) * (1.0 - SET_POINT_REDUCTION * self.confidence())
    }

    /// Returns the share of the load that is to be refused, so that the rest is answered in
    /// time. `served_share` is the share that all instances together get served.
    pub fn excess(&self, times: &Times, served_share: f64) -> f64 {
        let Some(wait) = self.wait(times).filter(|_| times.service > Span::ZERO) else {
            return 0.0;
        };
        // The wait is to return to its set point within the time over which the rates are taken.
        let error = self.set_point(times) - wait;
        let correction = (1.0 + error / self.seconds).max(CORRECTION_MIN);
        let own_share = self.counts.served() / self.counts.wanted().max(1.0);
        let share = own_share + (served_share - own_share) * FLEET_WEIGHT;
        self.gate * (1.0 - share * correction).clamp(0.0, 1.0)
    }
}

/// Returns how far `value` is in a range, from 0 to 1.
fn ramp(value: f64, (low, high): (f64, f64)) -> f64 {
    ((value - low) / (high - low)).clamp(0.0, 1.0)
}
