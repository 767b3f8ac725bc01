//! An upper bound on the wait of each long poll of the platform.

use mustardway_reader::answer::{Answer, Instance};
use mustardway_reader::platform::{Platform, Reply};
use mustardway_types::{revision, time};

/// Platform whose long polls for the configuration wait at most `wait_max`.
pub struct BoundedWait<Inner> {
    /// The platform that is read.
    pub inner: Inner,
    /// Longest time for which the platform may hold an answer back.
    pub wait_max: time::Span,
}

impl<Inner: Platform> Platform for BoundedWait<Inner> {
    fn configuration(&self, after: revision::Number, wait: time::Span) -> Reply<'_, Answer> {
        self.inner.configuration(after, wait.min(self.wait_max))
    }

    fn instances(&self) -> Reply<'_, Vec<Instance>> {
        self.inner.instances()
    }
}
