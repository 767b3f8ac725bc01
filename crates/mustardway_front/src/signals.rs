//! Signals that stop a process or make it read its settings again.
//!
//! Each signal has one stream, registered once at the start, so that no signal
//! is lost between the wait for the first and the wait for the second.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// A signal that has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// TERM.
    Terminate,
    /// INT.
    Interrupt,
    /// HUP.
    Hangup,
}

impl Received {
    /// The signal's number.
    pub fn number(self) -> i32 {
        let kind = match self {
            Received::Terminate => SignalKind::terminate(),
            Received::Interrupt => SignalKind::interrupt(),
            Received::Hangup => SignalKind::hangup(),
        };
        kind.as_raw_value()
    }
}

/// Streams of signals.
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
    pub async fn next(&mut self) -> Received {
        tokio::select! {
            _ = self.terminate.recv() => Received::Terminate,
            _ = self.interrupt.recv() => Received::Interrupt,
            _ = self.hangup.recv() => Received::Hangup,
        }
    }
}
