//! Messages exchanged with other instances of the packet front.

use bytes::Bytes;
use mustardway_peer::frame::{Frame, Kind};
use mustardway_peer::handler::Handler;
use mustardway_peer::link::Down;
use mustardway_types::instance;
use tokio::sync::mpsc;

use crate::input::Input;

/// Frame kind of membership messages.
pub const MEMBERSHIP: Kind = Kind(16);
/// Frame kind of messages that replicate the published state.
pub const MIRROR: Kind = Kind(17);
/// Frame kind of [`TargetStatus`] messages.
pub const TARGET_STATUS: Kind = Kind(18);
/// Frame kind of messages that share load estimates.
pub const LOAD: Kind = Kind(19);
/// Frame kind of messages about contested flows.
pub const CONTESTED: Kind = Kind(20);
/// Every frame kind that an instance accepts.
pub const KINDS: [Kind; 5] = [MEMBERSHIP, MIRROR, TARGET_STATUS, LOAD, CONTESTED];

/// Label values of the frame kinds in metrics.
pub const KIND_NAMES: [(Kind, &str); 5] = [
    (MEMBERSHIP, "membership"),
    (MIRROR, "mirror"),
    (TARGET_STATUS, "target-status"),
    (LOAD, "load"),
    (CONTESTED, "contested-flows"),
];

/// Tells a peer whether the sender found a target lost or answering again.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetStatus {
    /// Name of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Whether the target is lost; `false` means that it answers again.
    #[prost(bool, tag = "2")]
    pub is_lost: bool,
}

/// Passes frames from the mesh to the dispatcher.
pub struct InboundHandler {
    inputs: mpsc::Sender<Input>,
}

impl InboundHandler {
    /// Creates a handler that sends its events to `inputs`.
    pub fn new(inputs: mpsc::Sender<Input>) -> Self {
        InboundHandler { inputs }
    }

    fn enqueue(&self, input: Input) {
        // The readers of the mesh must not block. A full queue drops the event, and
        // the protocols tolerate lost messages.
        let _ = self.inputs.try_send(input);
    }
}

impl Handler for InboundHandler {
    fn frame(&self, from: &instance::Id, frame: Frame) {
        let (kind, body): (Kind, Bytes) = (frame.kind(), frame.body);
        self.enqueue(Input::Frame { from: from.clone(), kind, body });
    }

    fn link_down(&self, down: &Down) {
        self.enqueue(Input::LinkDown(down.peer.id.clone()));
    }
}
