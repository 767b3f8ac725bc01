//! The load of a service, in busy slots.

use mustardway_load::key;

/// The capacity of a service and the load that callers offer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load {
    /// Usable slots. A slot of a target that takes twice the usual time counts as a half.
    pub slots: f64,
    /// Load of each route.
    pub routes: Vec<Route>,
}

/// The load that callers offer to a service on one route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Route {
    /// The route.
    pub route: key::Route,
    /// Priority under overload. 0 is the most urgent.
    pub urgency: u32,
    /// Mean number of slots that all requests would keep busy, those of refused flows
    /// included.
    pub offered: f64,
    /// Ratio of the time at a target to the time without waiting there.
    pub crowding: f64,
    /// Share of late answers.
    pub late_share: f64,
}

/// Crowding at which requests wait: as long as they are worked on.
const CROWDING_WAITING: f64 = 2.0;
/// Share of late answers at which requests wait too long.
const LATE_WAITING: f64 = 0.05;

impl Load {
    /// Returns the load that callers offer on all routes.
    pub fn offered(&self) -> f64 {
        self.routes.iter().map(|route| route.offered).sum()
    }

    /// Returns whether requests wait at the targets.
    pub fn is_waiting(&self) -> bool {
        let is_waiting =
            |route: &Route| route.crowding >= CROWDING_WAITING || route.late_share >= LATE_WAITING;
        self.routes.iter().any(is_waiting)
    }

    /// Returns the urgency of the most urgent route, if there are routes of different
    /// urgency.
    pub fn most_urgent(&self) -> Option<u32> {
        let least = self.routes.iter().map(|route| route.urgency).min()?;
        self.routes.iter().any(|route| route.urgency > least).then_some(least)
    }
}
