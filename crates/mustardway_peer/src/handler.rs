//! The callbacks for received frames and broken links.

use mustardway_types::instance;

use crate::frame::Frame;
use crate::link;

/// Handles received frames and broken links.
///
/// The tasks of the links call both methods and are blocked meanwhile, so both must
/// return quickly and never wait.
pub trait Handler: Send + Sync {
    /// Handles a received frame, whose kind is one of those in the settings.
    fn frame(&self, from: &instance::Id, frame: Frame);

    /// Handles the loss of a link. Every frame sent over the link without a reply may
    /// or may not have arrived. The outcome of each ticket of the link is known before
    /// this call. The close of an idle link by either side is not reported.
    fn link_down(&self, down: &link::Down);
}
