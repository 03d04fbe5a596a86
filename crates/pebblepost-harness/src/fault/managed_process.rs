//! A child process that faults are injected into. Dropping a [`ManagedProcess`] kills its process.

use super::signal::{self, Signal};
use anyhow::{Context, Result};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// A child process that can be killed, suspended, stopped and started again with the same command.
pub struct ManagedProcess {
    command: Command,
    child: Option<Child>,
    paused: bool,
}

impl ManagedProcess {
    /// Creates a process that is not started yet.
    pub fn new(command: Command) -> Self {
        Self { command, child: None, paused: false }
    }

    /// Starts the process unless it is already running.
    ///
    /// # Errors
    ///
    /// Returns an error that names the program if it cannot be executed.
    pub fn start(&mut self) -> Result<()> {
        if !self.is_running() {
            let child = self.command.spawn();
            self.child = Some(child.with_context(|| format!("{:?}", self.command.get_program()))?);
            self.paused = false;
        }
        Ok(())
    }

    /// Whether the process runs, suspended or not.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Exit status of a process that has ended; `None` if it is running, was never started or was ended by [`Self::kill`].
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    fn send_signal(&mut self, signal: Signal) {
        // The id of a process that has ended may have been reused for another process.
        if self.is_running()
            && let Some(child) = &self.child
        {
            signal::send(child.id(), signal);
        }
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.paused = false;
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&mut self) {
        self.send_signal(Signal::SIGSTOP);
        self.paused = true;
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&mut self) {
        self.send_signal(Signal::SIGCONT);
        self.paused = false;
    }

    /// Stops the process with SIGTERM, and with SIGKILL if it has not exited within `limit`. Returns whether it
    /// exited by itself.
    ///
    /// Resumes a suspended process first, and blocks the thread for up to `limit`.
    pub fn stop(&mut self, limit: Duration) -> bool {
        self.resume();
        self.send_signal(Signal::SIGTERM);
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline && self.is_running() {
            std::thread::sleep(Duration::from_millis(10));
        }
        let exited = !self.is_running();
        self.kill();
        exited
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
