//! Whether a service is full, and how much load it is given then.
//!
//! The capacity of a full service is what its targets serve. While the targets stay full,
//! the budget follows that; as soon as they are not, it rises again, so that nothing is
//! refused for long while there is room. Entering a state needs more load than staying in
//! it, so that a load near a threshold does not flap.

use displaydoc::Display;
use mustardway_types::time::{Instant, Span};

use crate::service::Load;

/// Requests in progress per slot from which on targets are reserved for urgent flows. With
/// two slots at each target, about half of the requests then find one of them busy.
const RESERVE_ABOVE: f64 = 0.7;
/// Requests in progress per slot below which no targets are reserved any more.
const RESERVE_BELOW: f64 = 0.6;
/// Share of rejected requests from which on targets are full: with two retries, one request
/// in 37 then fails.
const FULL_ABOVE: f64 = 0.3;
/// Share of rejected requests below which targets are not full any more: one request in
/// 125 fails.
const FULL_BELOW: f64 = 0.2;
/// Time for which targets have to be full before flows are refused. Callers' retries get
/// over a shorter burst.
const REFUSE_AFTER: Span = Span::seconds(1);
/// Factor by which the budget rises with each update while the targets are not full.
const BUDGET_RISE: f64 = 1.05;
/// Part of the distance to the served load by which the budget changes with each update
/// while the targets are full.
const BUDGET_STEP: f64 = 0.5;

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
    is_full: bool,
    /// Time since which the targets are full.
    full_since: Option<Instant>,
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
        let rejected = load.rejected_share();
        self.is_full = rejected >= if self.is_full { FULL_BELOW } else { FULL_ABOVE };
        if self.is_full {
            self.full_since.get_or_insert(now);
        } else {
            self.full_since = None;
        }
        let utilisation = if load.slots > 0.0 { offered / load.slots } else { 0.0 };
        if self.state == State::Refusing {
            if self.is_full {
                self.budget += (served - self.budget) * BUDGET_STEP;
            } else {
                self.budget *= BUDGET_RISE;
            }
            if offered <= self.budget {
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
}
