//! Whether a service is full. Entering a state needs more load than staying in it, so
//! that a load near a threshold does not flap.

use displaydoc::Display;
use mustardway_types::time::{Instant, Span};

/// Offered load per slot from which on targets are reserved for urgent flows. With two
/// slots at each target, about half of the requests then find one of them busy.
const RESERVE_ABOVE: f64 = 0.7;
/// Offered load per slot below which no targets are reserved any more.
const RESERVE_BELOW: f64 = 0.6;
/// Offered load per slot above which flows are refused.
const REFUSE_ABOVE: f64 = 1.0;
/// Offered load per slot below which no flow is refused any more.
const REFUSE_BELOW: f64 = 0.9;
/// Time for which the load has to be beyond a threshold of refusal.
const REFUSE_AFTER: Span = Span::seconds(1);

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
    /// Time since which the load is beyond the next threshold of refusal.
    beyond_since: Option<Instant>,
}

impl Contention {
    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Updates the state by the offered load per slot, and by whether requests wait at the
    /// targets.
    pub fn update(&mut self, utilisation: f64, is_waiting: bool, now: Instant) -> State {
        let is_refusing = self.state == State::Refusing;
        if is_refusing && utilisation < REFUSE_BELOW {
            self.state = State::Reserving;
            self.beyond_since = None;
        }
        let is_refusing = self.state == State::Refusing;
        let is_beyond =
            if is_refusing { !is_waiting } else { utilisation > REFUSE_ABOVE && is_waiting };
        if !is_beyond {
            self.beyond_since = None;
        }
        let since = *self.beyond_since.get_or_insert(now);
        if is_beyond && now.since(since) >= REFUSE_AFTER {
            self.state = if is_refusing { State::Reserving } else { State::Refusing };
            self.beyond_since = None;
        }
        if !is_beyond {
            self.beyond_since = None;
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
