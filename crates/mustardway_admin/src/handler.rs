//! The interface through which the API queries and commands the instance.

use std::sync::Arc;

use mustardway_types::{address, flow};
use mustardway_view::model::View;

use crate::error::Error;
use crate::response;

/// Answers the queries and runs the commands of the API. No method may block.
pub trait Handler: Send + Sync {
    /// Returns whether the process works.
    fn live(&self) -> response::Live;

    /// Returns whether the instance takes packets, and the reason if it does not.
    fn ready(&self) -> response::Ready;

    /// Returns the state and totals of the instance.
    fn status(&self) -> response::Status;

    /// Returns the view in force, or `None` before the first.
    fn view(&self) -> Option<Arc<View>>;

    /// Returns every target as this instance sees it.
    fn targets(&self) -> response::Targets;

    /// Returns the number of flows that this instance owns, and at most `shown_max` of them.
    fn flows(&self, shown_max: usize) -> response::Flows;

    /// Returns the other instances as this one sees them.
    fn peers(&self) -> response::Peers;

    /// Returns the audit trail.
    fn audit(&self) -> response::Audit;

    /// Returns the counts of promises and answers.
    fn promises(&self) -> response::Promises;

    /// Explains which target the next packet of a flow would go to, and why.
    fn explain(&self, flow: flow::Id, address: address::Address) -> response::Explanation;

    /// Command: drains this instance. It hands its targets over and reports not ready.
    ///
    /// # Errors
    /// Returns [`Error::Conflict`] if the state of the instance does not allow it.
    fn drain(&self) -> Result<response::Command, Error>;

    /// Command: cancels a drain. This is possible until the planned stop begins.
    ///
    /// # Errors
    /// Returns [`Error::Conflict`] if the state of the instance does not allow it.
    fn undrain(&self) -> Result<response::Command, Error>;
}
