//! The border towards the instance.

use std::sync::Arc;

use mustardway_types::{address, flow};
use mustardway_view::model::View;

use crate::error::Error;
use crate::shape;

/// What the instance tells and does. No call may wait.
pub trait Handler: Send + Sync {
    /// Whether the process works.
    fn live(&self) -> shape::Live;

    /// Whether it takes packets.
    fn ready(&self) -> shape::Ready;

    /// The instance at a glance.
    fn status(&self) -> shape::Status;

    /// The view in force, if there is one.
    fn view(&self) -> Option<Arc<View>>;

    /// Every target as this instance sees it.
    fn targets(&self) -> shape::Targets;

    /// Flows that this instance keeps as owner, at most `shown_max` of them one by one.
    fn flows(&self, shown_max: usize) -> shape::Flows;

    /// The other instances.
    fn peers(&self) -> shape::Peers;

    /// The trail of changes.
    fn audit(&self) -> shape::Audit;

    /// Promises and answers, counted.
    fn promises(&self) -> shape::Promises;

    /// Why a flow goes where it goes.
    fn explain(&self, flow: flow::Id, address: address::Address) -> shape::Explanation;

    /// Command: starts the planned stop of this instance.
    ///
    /// # Errors
    /// [`Error::Conflict`] where the state of the instance does not allow it.
    fn drain(&self) -> Result<shape::Command, Error>;

    /// Command: takes back a drain, as long as the stop has not begun.
    ///
    /// # Errors
    /// [`Error::Conflict`] where the state of the instance does not allow it.
    fn undrain(&self) -> Result<shape::Command, Error>;
}
