//! Signals that stop the process or make it read its settings again.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Stop as planned.
    Stop,
    /// Read the settings again.
    Reload,
}

/// Streams of signals, registered once at the start.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Registers the streams.
    ///
    /// # Errors
    /// When the system refuses a handler.
    pub fn register() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Order {
        tokio::select! {
            _ = self.terminate.recv() => Order::Stop,
            _ = self.interrupt.recv() => Order::Stop,
            _ = self.hangup.recv() => Order::Reload,
        }
    }
}
