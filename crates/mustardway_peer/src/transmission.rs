//! Reports whether a queued frame was handed to the socket.

use tokio::sync::oneshot;

use crate::link;

/// The outcome of a queued frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of the frame was handed to the socket, and none will be.
    NotSent,
    /// The frame was handed to the socket and may or may not arrive. If the link
    /// breaks, [`crate::handler::Handler::link_down`] reports the link's number.
    Sent,
}

/// Receives the outcome of one queued frame.
#[derive(Debug)]
pub struct Ticket {
    link: link::Number,
    sent: oneshot::Receiver<()>,
}

impl Ticket {
    /// Returns the link in which the frame was queued.
    pub fn link(&self) -> link::Number {
        self.link
    }

    /// Waits until the outcome of the frame is known.
    pub async fn outcome(self) -> Outcome {
        match self.sent.await {
            Ok(()) => Outcome::Sent,
            Err(_) => Outcome::NotSent,
        }
    }
}

/// The sending side of a [`Ticket`]; dropping it unused reports [`Outcome::NotSent`].
#[derive(Debug, Default)]
pub(crate) struct Notifier(Option<oneshot::Sender<()>>);

impl Notifier {
    /// Creates a notifier and its ticket for a frame in `link`.
    pub(crate) fn pair(link: link::Number) -> (Notifier, Ticket) {
        let (sender, receiver) = oneshot::channel();
        (Notifier(Some(sender)), Ticket { link, sent: receiver })
    }

    /// Reports that the frame is about to be handed to the socket.
    pub(crate) fn notify_sent(self) {
        let Some(sender) = self.0 else {
            return;
        };
        // The ticket may have been dropped.
        let _ = sender.send(());
    }
}
