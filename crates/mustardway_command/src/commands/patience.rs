//! The longest wait of one read of the platform.

use mustardway_reader::answer::{Answer, Instance};
use mustardway_reader::platform::{Platform, Reply};
use mustardway_types::{revision, time};

/// A platform that is never asked to hold an answer back for longer than `wait`.
pub struct Patience<Inner> {
    /// The platform.
    pub inner: Inner,
    /// Longest wait.
    pub wait: time::Span,
}

impl<Inner: Platform> Platform for Patience<Inner> {
    fn configuration(&self, after: revision::Number, wait: time::Span) -> Reply<'_, Answer> {
        self.inner.configuration(after, wait.min(self.wait))
    }

    fn instances(&self) -> Reply<'_, Vec<Instance>> {
        self.inner.instances()
    }
}
