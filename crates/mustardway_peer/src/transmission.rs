//! Whether a frame can have left.

use tokio::sync::oneshot;

use crate::link;

/// What became of a frame that was taken for sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of it was handed to the socket, and none will be.
    NotSent,
    /// It was handed to the socket: it may or may not arrive. If the link
    /// breaks, [`crate::handler::Handler::link_down`] tells its number.
    Sent,
}

/// A claim to hear what became of one frame.
#[derive(Debug)]
pub struct Ticket {
    link: link::Number,
    sent: oneshot::Receiver<()>,
}

impl Ticket {
    /// The link that the frame waits for.
    pub fn link(&self) -> link::Number {
        self.link
    }

    /// Waits until it is settled.
    pub async fn outcome(self) -> Outcome {
        match self.sent.await {
            Ok(()) => Outcome::Sent,
            Err(_) => Outcome::NotSent,
        }
    }
}

/// The sending side of a ticket; dropped unused, it says [`Outcome::NotSent`].
#[derive(Debug, Default)]
pub(crate) struct Notifier(Option<oneshot::Sender<()>>);

impl Notifier {
    /// A ticket for `link` and its notifier.
    pub(crate) fn pair(link: link::Number) -> (Notifier, Ticket) {
        let (sender, receiver) = oneshot::channel();
        (Notifier(Some(sender)), Ticket { link, sent: receiver })
    }

    /// The frame is about to be handed to the socket.
    pub(crate) fn notify_sent(self) {
        let Some(sender) = self.0 else {
            return;
        };
        // Nobody may be waiting any more.
        let _ = sender.send(());
    }
}
