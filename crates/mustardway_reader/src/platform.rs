//! The border towards the platform.

use futures::future::BoxFuture;
use mustardway_types::{revision, time};

use crate::answer::{Answer, Instance};
use crate::failure::Failure;

/// What a call gives, later.
pub type Reply<'a, T> = BoxFuture<'a, Result<T, Failure>>;

/// What can be read of the platform. Both are queries.
pub trait Platform: Send + Sync {
    /// The configuration, if it is later than `after`. Where it is not, the
    /// platform may hold the answer back for up to `wait`.
    fn configuration(&self, after: revision::Number, wait: time::Span) -> Reply<'_, Answer>;

    /// The instances that the platform knows; the list lags behind.
    fn instances(&self) -> Reply<'_, Vec<Instance>>;
}
