//! Signals to child processes.

use nix::sys::signal::kill;
use nix::unistd::Pid;

pub use nix::sys::signal::Signal;

/// Sends a signal to a child process.
///
/// The caller must not have waited for the process yet: afterwards its id may belong to another process. Errors are
/// ignored.
pub fn send(process_id: u32, signal: Signal) {
    if let Ok(pid) = i32::try_from(process_id) {
        let _ = kill(Pid::from_raw(pid), signal);
    }
}
