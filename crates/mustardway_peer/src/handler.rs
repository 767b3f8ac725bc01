//! Where frames and broken links go.

use mustardway_types::instance;

use crate::frame::Frame;
use crate::link;

/// What the user of a mesh does with what comes in.
///
/// Both calls come from the reader tasks and hold them up: they must return soon
/// and never wait.
pub trait Handler: Send + Sync {
    /// A frame came in; its kind is one of those in the settings.
    fn frame(&self, from: &instance::Id, frame: Frame);

    /// A link broke. Every frame that left by it and was not replied to may or
    /// may not have arrived. Each ticket of the link is settled before this call.
    /// An idle link that either side closes is not reported.
    fn link_down(&self, down: &link::Down);
}
