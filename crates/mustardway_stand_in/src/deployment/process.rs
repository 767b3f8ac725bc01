//! Child processes that end with their parent.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use tokio::time::Instant;

/// Time between two looks at a child.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Lines of a log that are shown when a child fails.
const TAIL_LINES: usize = 8;

/// A signal to a child.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Stop in order.
    Terminate,
    /// End at once.
    Kill,
    /// Pause.
    Stop,
    /// Go on.
    Continue,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Signal::Terminate => "-TERM",
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        }
    }
}

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts `program`, with what it prints going to `log`.
    ///
    /// # Errors
    ///
    /// Returns the error of starting.
    pub fn start(program: &Path, arguments: &[String], log: PathBuf) -> io::Result<Process> {
        let out = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        Ok(Process { child, log })
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Returns the error of sending.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let status =
            Command::new("kill").arg(signal.flag()).arg(self.child.id().to_string()).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other("the signal was not delivered")),
        }
    }

    /// How it ended; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until it ends; `None` when it does not within `time`.
    pub async fn wait(&mut self, time: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + time;
        loop {
            if let Some(status) = self.exit_status() {
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// The last lines that it printed.
    pub fn tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.exit_status().is_some() {
            return;
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
