//! The interface through which instances read the platform.

use futures::future::BoxFuture;
use mustardway_types::{revision, time};

use crate::answer::{Answer, Instance};
use crate::failure::Failure;

/// Future result of a call to the platform.
pub type Reply<'a, T> = BoxFuture<'a, Result<T, Failure>>;

/// Reads the platform. Neither method changes anything there.
pub trait Platform: Send + Sync {
    /// Returns the configuration if its revision is later than `after`. Otherwise the platform may
    /// hold the answer back for up to `wait` (a blocking get).
    fn configuration(&self, after: revision::Number, wait: time::Span) -> Reply<'_, Answer>;

    /// Returns the instances that the platform knows. The list may be out of date.
    fn instances(&self) -> Reply<'_, Vec<Instance>>;
}
