//! The border towards the instance.

use std::sync::Arc;

use mustardway_types::{address, flow};
use mustardway_view::model::View;

use crate::error::Error;
use crate::response;

/// What the instance tells and does. No call may wait.
pub trait Handler: Send + Sync {
    /// Whether the process works.
    fn live(&self) -> response::Live;

    /// Whether it takes packets.
    fn ready(&self) -> response::Ready;

    /// The instance at a glance.
    fn status(&self) -> response::Status;

    /// The view in force, if there is one.
    fn view(&self) -> Option<Arc<View>>;

    /// Every target as this instance sees it.
    fn targets(&self) -> response::Targets;

    /// Flows that this instance keeps as owner, at most `shown_max` of them one by one.
    fn flows(&self, shown_max: usize) -> response::Flows;

    /// The other instances.
    fn peers(&self) -> response::Peers;

    /// The trail of changes.
    fn audit(&self) -> response::Audit;

    /// Promises and answers, counted.
    fn promises(&self) -> response::Promises;

    /// Why a flow goes where it goes.
    fn explain(&self, flow: flow::Id, address: address::Address) -> response::Explanation;

    /// Command: starts the planned stop of this instance.
    ///
    /// # Errors
    /// [`Error::Conflict`] where the state of the instance does not allow it.
    fn drain(&self) -> Result<response::Command, Error>;

    /// Command: takes back a drain, as long as the stop has not begun.
    ///
    /// # Errors
    /// [`Error::Conflict`] where the state of the instance does not allow it.
    fn undrain(&self) -> Result<response::Command, Error>;
}
