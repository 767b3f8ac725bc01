//! Instances, their states and records.

use std::net::SocketAddr;

use mustardway_types::domain;
use mustardway_types::instance;
use mustardway_types::time::Instant;

/// One incarnation of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub id: instance::Id,
    /// Failure domain that the instance runs in.
    pub domain: domain::Name,
    /// Address on which the instance listens for other instances.
    pub address: SocketAddr,
    /// Incarnation number. It must grow with every start of the process, so the
    /// start time is a good source.
    pub incarnation: instance::Incarnation,
}

/// State that is believed of an instance. Within one incarnation a later
/// variant takes precedence over an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The instance serves.
    Alive,
    /// The instance counts as serving but has not been heard for a while.
    Suspect,
    /// The instance hands over its targets and still owns some.
    Leaving,
    /// A watcher has declared the instance dead.
    Dead,
    /// The instance has handed over and stopped as planned.
    Left,
}

impl State {
    /// Returns whether an instance in this state is on the live list.
    pub fn is_live(self) -> bool {
        matches!(self, State::Alive | State::Suspect | State::Leaving)
    }
}

/// What this instance knows about an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Latest known incarnation.
    pub member: Member,
    /// Believed state. [`State::Suspect`] is this instance's own view and is not
    /// gossiped.
    pub state: State,
    /// Whether the platform lists the instance as leaving.
    pub listed_leaving: bool,
    /// Time at which this instance last changed the state.
    pub changed: Instant,
    /// Position on the hashed rings.
    pub(crate) position: u64,
    /// Whether the instance counts as dead only because this instance heard no
    /// peer at all.
    pub(crate) presumed_dead: bool,
    /// Incarnation that the failure domain and address were announced with; the
    /// incarnation may have been raised since.
    pub(crate) base_incarnation: instance::Incarnation,
}

impl Record {
    /// Returns whether the instance is leaving, as announced by itself or by the
    /// platform's list.
    pub fn is_leaving(&self) -> bool {
        self.state == State::Leaving || (self.listed_leaving && self.state.is_live())
    }
}
