//! The load of a service: the mean number of requests in progress, those that wait at targets
//! included.

use mustardway_load::key;

/// The load that callers offer to a service, and what its targets serve of it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load {
    /// Usable slots. A slot of a target that takes twice the usual time counts as a half.
    pub slots: f64,
    /// Load of each route.
    pub routes: Vec<Route>,
}

/// The load that callers offer to a service on one route. Loads are mean numbers of requests
/// in progress.
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
    /// Share of late answers.
    pub late_share: f64,
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
        self.mean(|route| route.rejected_share)
    }

    /// Returns the share of late answers.
    pub fn late_share(&self) -> f64 {
        self.mean(|route| route.late_share)
    }

    /// Returns the mean over all routes, weighted by their load.
    fn mean(&self, value: impl Fn(&Route) -> f64) -> f64 {
        let (mut sum, mut offered) = (0.0, 0.0);
        for route in &self.routes {
            sum += value(route) * route.offered;
            offered += route.offered;
        }
        sum / offered.max(f64::MIN_POSITIVE)
    }

    /// Returns the urgency of the most urgent route, if there are routes of different
    /// urgency.
    pub fn most_urgent(&self) -> Option<u32> {
        let least = self.routes.iter().map(|route| route.urgency).min()?;
        self.routes.iter().any(|route| route.urgency > least).then_some(least)
    }
}
