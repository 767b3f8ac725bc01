//! The channels into the control loop.

use tokio::sync::{mpsc, oneshot};

use crate::peers::Notice;

/// Capacity of the queue of peer notices, in notices.
const NOTICE_QUEUE_LENGTH: usize = 16_384;
/// Capacity of the queue of orders, in orders.
const ORDER_QUEUE_LENGTH: usize = 16;

/// A command of this process to the control loop.
pub enum Order {
    /// Start to hand over all targets.
    Leave,
    /// Cancel [`Order::Leave`] and accept work again.
    Return,
    /// Tell the peers that this instance has left, and end the loop. The sender acknowledges it.
    Stop(oneshot::Sender<()>),
}

/// The sending ends of the channels into the control loop.
pub struct Handles {
    /// Notices from peers.
    pub notices: mpsc::Sender<Notice>,
    /// Orders from this process.
    pub orders: mpsc::Sender<Order>,
}

/// The receiving ends of the channels into the control loop.
pub struct Inbox {
    pub(super) notices: mpsc::Receiver<Notice>,
    pub(super) orders: mpsc::Receiver<Order>,
}

/// Creates the channels of a control loop.
pub fn channels() -> (Handles, Inbox) {
    let (notices, notices_inbox) = mpsc::channel(NOTICE_QUEUE_LENGTH);
    let (orders, orders_inbox) = mpsc::channel(ORDER_QUEUE_LENGTH);
    (Handles { notices, orders }, Inbox { notices: notices_inbox, orders: orders_inbox })
}
