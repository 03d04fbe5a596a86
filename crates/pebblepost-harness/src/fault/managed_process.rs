//! A process that faults are injected into. It is killed when this is dropped.

use super::signal::{self, Signal};
use anyhow::{Context, Result};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// The process.
pub struct ManagedProcess {
    command: Command,
    child: Option<Child>,
    paused: bool,
}

impl ManagedProcess {
    /// A process that has not been started.
    pub fn new(command: Command) -> Self {
        Self { command, child: None, paused: false }
    }

    /// Starts it, unless it runs.
    ///
    /// # Errors
    ///
    /// If the program can not be executed.
    pub fn start(&mut self) -> Result<()> {
        if !self.runs() {
            let child = self.command.spawn();
            self.child = Some(child.with_context(|| format!("{:?}", self.command.get_program()))?);
            self.paused = false;
        }
        Ok(())
    }

    /// Whether it runs, suspended or not.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// How it ended by itself, if it has.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    fn send_signal(&mut self, signal: Signal) {
        // The id of a process that has ended may be that of another one.
        if self.runs()
            && let Some(child) = &self.child
        {
            signal::send(child.id(), signal);
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.paused = false;
    }

    /// SIGSTOP.
    pub fn pause(&mut self) {
        self.send_signal(Signal::SIGSTOP);
        self.paused = true;
    }

    /// SIGCONT.
    pub fn resume(&mut self) {
        self.send_signal(Signal::SIGCONT);
        self.paused = false;
    }

    /// SIGTERM, and SIGKILL if it has not ended within `limit`. Returns whether it ended by itself.
    pub fn stop(&mut self, limit: Duration) -> bool {
        self.resume();
        self.send_signal(Signal::SIGTERM);
        let end = Instant::now() + limit;
        while Instant::now() < end && self.runs() {
            std::thread::sleep(Duration::from_millis(10));
        }
        let by_itself = !self.runs();
        self.kill();
        by_itself
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
