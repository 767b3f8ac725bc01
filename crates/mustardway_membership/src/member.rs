//! Instances, their states and records.

use std::net::SocketAddr;

use mustardway_types::domain;
use mustardway_types::instance;
use mustardway_types::time::Instant;

/// One life of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub id: instance::Id,
    /// Failure domain it lives in.
    pub domain: domain::Name,
    /// Where it listens for other instances.
    pub address: SocketAddr,
    /// Greater with every life, so best taken from the time of the start.
    pub incarnation: instance::Incarnation,
}

/// What is believed of an instance, from weak to strong within one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Serving.
    Alive,
    /// Serving as far as known, but not heard for a while.
    Suspect,
    /// Still an owner, handing over.
    Leaving,
    /// Declared dead by those who watched it.
    Dead,
    /// Stopped as planned.
    Left,
}

impl State {
    /// Whether an instance in this state is on the live list.
    pub fn is_live(self) -> bool {
        matches!(self, State::Alive | State::Suspect | State::Leaving)
    }
}

/// What one instance believes of another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Latest known life.
    pub member: Member,
    /// Believed state; [`State::Suspect`] is this instance's own view.
    pub state: State,
    /// The platform lists it as leaving.
    pub listed_leaving: bool,
    /// When the state last changed here.
    pub changed: Instant,
    /// Position on the hashed rings.
    pub(crate) position: u64,
    /// Held for dead only because nobody at all was heard.
    pub(crate) presumed_dead: bool,
    /// Incarnation that failure domain and address were told with.
    pub(crate) base_incarnation: instance::Incarnation,
}

impl Record {
    /// Whether it hands its work over, by its own word or by the platform's list.
    pub fn is_leaving(&self) -> bool {
        self.state == State::Leaving || (self.listed_leaving && self.state.is_live())
    }
}
