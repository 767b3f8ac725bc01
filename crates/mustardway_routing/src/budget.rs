//! The retry budget. It limits retries to a small share of the requests, so that
//! an overload does not become a retry storm.

/// Number of retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum number of retries in the budget.
const RETRIES_MAX: f64 = 50.0;

/// The number of retries that may still be made.
#[derive(Debug)]
pub struct Budget {
    retries: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { retries: RETRIES_MAX }
    }
}

impl Budget {
    /// Adds the share of one request to the budget.
    pub fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(RETRIES_MAX);
    }

    /// Takes one retry from the budget and returns `true`, or returns `false` if
    /// none is left.
    pub fn spend(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}
