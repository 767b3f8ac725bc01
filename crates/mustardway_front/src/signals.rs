//! Signals that stop the process or make it reload its settings.
//!
//! Each signal has one stream that is registered once at startup, so that no
//! signal is lost between two waits.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// A signal that the process received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// SIGTERM.
    Terminate,
    /// SIGINT.
    Interrupt,
    /// SIGHUP.
    Hangup,
}

impl Received {
    /// Returns the number of the signal.
    pub fn number(self) -> i32 {
        let kind = match self {
            Received::Terminate => SignalKind::terminate(),
            Received::Interrupt => SignalKind::interrupt(),
            Received::Hangup => SignalKind::hangup(),
        };
        kind.as_raw_value()
    }
}

/// The streams of all handled signals.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Registers a stream for every handled signal.
    ///
    /// # Errors
    /// When the operating system rejects a signal handler.
    pub fn register() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal and returns it.
    pub async fn next(&mut self) -> Received {
        tokio::select! {
            _ = self.terminate.recv() => Received::Terminate,
            _ = self.interrupt.recv() => Received::Interrupt,
            _ = self.hangup.recv() => Received::Hangup,
        }
    }
}
