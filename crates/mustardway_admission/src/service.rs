//! The load of a service, in busy slots.

use mustardway_load::key;

/// The load that callers offer to a service, and what its targets serve of it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load {
    /// Usable slots. A slot of a target that takes twice the usual time counts as a half.
    pub slots: f64,
    /// Load of each route.
    pub routes: Vec<Route>,
}

/// The load that callers offer to a service on one route. Loads are mean numbers of slots
/// that requests keep busy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Route {
    /// The route.
    pub route: key::Route,
    /// Priority under overload. 0 is the most urgent.
    pub urgency: u32,
    /// Load of all requests, those of refused flows included. Retries are not.
    pub offered: f64,
    /// Part of `offered` for which callers open a flow, the refused ones included.
    pub opening: f64,
    /// Load of the requests that get a proper answer.
    pub served: f64,
    /// Share of the requests that targets reject.
    pub rejected_share: f64,
}

impl Load {
    /// Returns the load that callers offer on all routes.
    pub fn offered(&self) -> f64 {
        self.routes.iter().map(|route| route.offered).sum()
    }

    /// Returns the load that gets proper answers on all routes.
    pub fn served(&self) -> f64 {
        self.routes.iter().map(|route| route.served).sum()
    }

    /// Returns the share of the requests that targets reject.
    pub fn rejected_share(&self) -> f64 {
        rejected_share(self.routes.iter())
    }

    /// Returns the share of the requests on the most urgent routes that targets reject, if
    /// routes differ in urgency.
    pub fn urgent_rejected_share(&self) -> Option<f64> {
        let most_urgent = self.most_urgent()?;
        Some(rejected_share(self.routes.iter().filter(|route| route.urgency == most_urgent)))
    }

    /// Returns the urgency of the most urgent route, if there are routes of different
    /// urgency.
    pub fn most_urgent(&self) -> Option<u32> {
        let least = self.routes.iter().map(|route| route.urgency).min()?;
        self.routes.iter().any(|route| route.urgency > least).then_some(least)
    }
}

/// Returns the share of the requests on `routes` that targets reject.
fn rejected_share<'a>(routes: impl Iterator<Item = &'a Route>) -> f64 {
    let (mut rejected, mut offered) = (0.0, 0.0);
    for route in routes {
        rejected += route.rejected_share * route.offered;
        offered += route.offered;
    }
    rejected / offered.max(f64::MIN_POSITIVE)
}
