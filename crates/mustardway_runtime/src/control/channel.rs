//! Ways to reach the control loop.

use tokio::sync::{mpsc, oneshot};

use crate::peers::Notification;

/// Notes that wait for the control loop.
const NOTIFICATION_QUEUE_LENGTH: usize = 16_384;
/// Orders that wait for the control loop.
const ORDER_QUEUE_LENGTH: usize = 16;

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
    pub notifications: mpsc::Sender<Notification>,
    /// Orders of this process.
    pub orders: mpsc::Sender<Order>,
}

/// Ends of the channels that the loop reads.
pub struct Inbox {
    pub(super) notifications: mpsc::Receiver<Notification>,
    pub(super) orders: mpsc::Receiver<Order>,
}

/// The channels of a control loop.
pub fn channels() -> (Handles, Inbox) {
    let (notifications, notifications_inbox) = mpsc::channel(NOTIFICATION_QUEUE_LENGTH);
    let (orders, orders_inbox) = mpsc::channel(ORDER_QUEUE_LENGTH);
    (
        Handles { notifications, orders },
        Inbox { notifications: notifications_inbox, orders: orders_inbox },
    )
}
