//! Ways to reach the control loop.

use tokio::sync::{mpsc, oneshot};

use crate::peers::Note;

/// Notes that wait for the control loop.
const NOTES: usize = 16_384;
/// Orders that wait for the control loop.
const ORDERS: usize = 16;

/// What the control loop is asked by this process.
pub enum Order {
    /// Begin to hand over.
    Leave,
    /// Take work again.
    Return,
    /// Stop; answered when the peers were told.
    Stop(oneshot::Sender<()>),
}

/// Ways to reach the control loop.
pub struct Handles {
    /// Notes of peers.
    pub notes: mpsc::Sender<Note>,
    /// Orders of this process.
    pub orders: mpsc::Sender<Order>,
}

/// Ends of the channels that the loop reads.
pub struct Inbox {
    pub(super) notes: mpsc::Receiver<Note>,
    pub(super) orders: mpsc::Receiver<Order>,
}

/// The channels of a control loop.
pub fn channels() -> (Handles, Inbox) {
    let (notes, notes_inbox) = mpsc::channel(NOTES);
    let (orders, orders_inbox) = mpsc::channel(ORDERS);
    (Handles { notes, orders }, Inbox { notes: notes_inbox, orders: orders_inbox })
}
