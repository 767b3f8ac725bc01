//! Child processes that end with their parent.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use tokio::time::Instant;

/// Time between two checks whether a child has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of log lines that are shown when a child fails.
const TAIL_LINES: usize = 8;

/// A signal that can be sent to a child.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: asks the process to shut down gracefully.
    Terminate,
    /// SIGKILL: kills the process.
    Kill,
    /// SIGSTOP: pauses the process.
    Stop,
    /// SIGCONT: resumes a paused process.
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

/// A child process, which is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts `program` and appends its output to the file `log`.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be opened or the program cannot be started.
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

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails when the `kill` command cannot be run or reports a failure.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let status =
            Command::new("kill").arg(signal.flag()).arg(self.child.id().to_string()).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other("the signal was not delivered")),
        }
    }

    /// Returns the exit status; `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the exit status; `None` when the process does not end within `time`.
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

    /// Returns the last lines that the process printed.
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
