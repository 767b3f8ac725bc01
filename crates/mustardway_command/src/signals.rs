//! Signals that stop the process.
//!
//! Each signal has one stream, registered once at the start, so that no signal
//! is lost between the wait for the first and the wait for the second.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Streams of the signals that stop the process.
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

    /// Waits for the next signal and gives its number.
    pub async fn next(&mut self) -> i32 {
        let kind = tokio::select! {
            _ = self.terminate.recv() => SignalKind::terminate(),
            _ = self.interrupt.recv() => SignalKind::interrupt(),
            _ = self.hangup.recv() => SignalKind::hangup(),
        };
        kind.as_raw_value()
    }
}
