//! The load of a service: the mean number of requests in progress without waiting.

use mustardway_load::key;
use mustardway_types::time::Span;

use crate::congestion::Times;

/// The load that callers offer to a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load {
    /// Usable slots. A slot of a target that takes twice the usual time counts as a half.
    pub slots: f64,
    /// Load of each route.
    pub routes: Vec<Route>,
    /// Requests per second that callers want, without the retries of refused ones.
    pub wanted: f64,
    /// Requests per second that targets serve.
    pub served: f64,
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
    /// Time that a request takes at a target without a queue.
    pub service_time: Span,
    /// Target latency.
    pub aim: Span,
}

impl Load {
    /// Returns the load that callers offer on all routes.
    pub fn offered(&self) -> f64 {
        self.routes.iter().map(|route| route.offered).sum()
    }

    /// Returns the share of the wanted requests that targets serve.
    pub fn served_share(&self) -> f64 {
        if self.wanted > 0.0 { (self.served / self.wanted).min(1.0) } else { 1.0 }
    }

    /// Returns the mean times of the requests on all routes.
    pub fn times(&self) -> Times {
        let (mut rates, mut service, mut aim) = (0.0, 0.0, 0.0);
        for route in &self.routes {
            let time = route.service_time.as_seconds();
            if time <= 0.0 {
                continue;
            }
            let rate = route.offered / time;
            rates += rate;
            service += rate * time;
            aim += rate * route.aim.as_seconds();
        }
        if rates <= 0.0 {
            return Times::default();
        }
        const MICROS_PER_SECOND: f64 = 1e6;
        let mean = |sum: f64| Span((sum / rates * MICROS_PER_SECOND) as u64);
        Times { service: mean(service), aim: mean(aim) }
    }
}
