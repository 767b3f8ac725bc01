//! Whether a service is full, and how much load it is given then.
//!
//! A target whose queue is full rejects a request without running it, and its caller tries
//! another one at once. While that happens often, or answers are late, the budget of the
//! service falls step by step, and the least urgent flows with it, so that what is admitted
//! is served in time. It rises again as soon as there is room. Entering a state needs more
//! load than staying in it, so that a load near a threshold does not flap.

use displaydoc::Display;
use mustardway_types::time::{Instant, Span};

use crate::service::Load;

/// Requests in progress per slot from which on targets are reserved for urgent flows. With
/// two slots at each target, about half of the requests then find one of them busy.
pub const RESERVE_ABOVE: f64 = 0.7;
/// Requests in progress per slot below which no targets are reserved any more.
pub const RESERVE_BELOW: f64 = 0.6;
/// Requests in progress per slot from which on rejections show that targets are full.
/// Below that they come from failing targets, and refusing flows would not help.
const FULL_ABOVE: f64 = 1.0;
/// Shares of rejected requests above which targets are full, and below which they have
/// room again. Each rejection costs its caller a try, and a part of its time.
const REJECTED_RANGE: (f64, f64) = (0.15, 0.25);
/// Shares of late answers above which targets are full, and below which they have room
/// again.
const LATE_RANGE: (f64, f64) = (0.1, 0.2);
/// Time for which targets have to be full before flows are refused. Callers' retries absorb
/// shorter bursts.
const REFUSE_AFTER: Span = Span::seconds(1);
/// Factors by which the budget changes with each update.
const BUDGET_FALL: f64 = 0.96;
const BUDGET_RISE: f64 = 1.04;
/// Least budget, as a part of the capacity. Slots would be idle at less.
const BUDGET_MIN: f64 = 0.9;
/// Factor by which the known capacity falls with each update in which less is served: by
/// half in 3 minutes. It also falls with the slots.
const CAPACITY_DECAY: f64 = 0.998;

/// What a service does with new flows.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// open
    #[default]
    Open,
    /// reserving
    Reserving,
    /// refusing
    Refusing,
}

/// The state of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Contention {
    state: State,
    /// Time since which the targets are full.
    full_since: Option<Instant>,
    /// Greatest load that was served lately.
    capacity: f64,
    /// Slots at the latest update.
    slots: f64,
    /// Load that is admitted while flows are refused.
    budget: f64,
}

impl Contention {
    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the load that is admitted while flows are refused.
    pub fn budget(&self) -> f64 {
        self.budget
    }

    /// Updates the state. Called with each new estimate of the load.
    pub fn update(&mut self, load: &Load, now: Instant) -> State {
        let (offered, served) = (load.offered(), load.served());
        // Full targets leave opening packets unanswered, so all may be suspected. The slots are
        // 0 then, and the utilisation is infinite.
        let utilisation = if offered > 0.0 { offered / load.slots } else { 0.0 };
        if load.slots > 0.0 {
            // After a loss of targets, what was served before no longer counts.
            let kept = if self.slots > 0.0 { (load.slots / self.slots).min(1.0) } else { 1.0 };
            self.capacity *= kept;
            self.slots = load.slots;
        }
        self.capacity = served.max(self.capacity * CAPACITY_DECAY);
        let (rejected, late) = (load.rejected_share(), load.late_share());
        let is_full =
            utilisation >= FULL_ABOVE && (rejected > REJECTED_RANGE.1 || late > LATE_RANGE.1);
        let has_room = rejected < REJECTED_RANGE.0 && late < LATE_RANGE.0;
        if is_full {
            self.full_since.get_or_insert(now);
        } else {
            self.full_since = None;
        }
        if self.state == State::Refusing {
            self.adjust_budget(is_full, has_room || utilisation < FULL_ABOVE);
            if offered <= self.budget && !is_full {
                self.state = State::Reserving;
            }
        } else if self.full_since.is_some_and(|since| now.since(since) >= REFUSE_AFTER)
            && offered > served
        {
            self.state = State::Refusing;
            self.budget = served;
        }
        if self.state == State::Open && utilisation >= RESERVE_ABOVE {
            self.state = State::Reserving;
        }
        if self.state == State::Reserving && utilisation < RESERVE_BELOW {
            self.state = State::Open;
        }
        self.state
    }

    fn adjust_budget(&mut self, is_full: bool, has_room: bool) {
        if is_full {
            self.budget = (self.budget * BUDGET_FALL).max(self.capacity * BUDGET_MIN);
        } else if has_room {
            self.budget *= BUDGET_RISE;
        }
    }
}
