//! The retry budget: retries stay a small share of requests, so that they
//! cannot turn a shortage into a storm.

/// Retries earned by each request.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Most retries that can be saved up.
const SAVED_MAX: f64 = 50.0;

/// Retries that may still be made.
#[derive(Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { saved: SAVED_MAX }
    }
}

impl Budget {
    /// Counts a request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(SAVED_MAX);
    }

    /// Takes a retry; false where none is left.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
