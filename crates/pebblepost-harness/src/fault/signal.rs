//! Signals to processes that this one has started.

use nix::sys::signal::kill;
use nix::unistd::Pid;

pub use nix::sys::signal::Signal;

/// Sends a signal. The process must not have been waited for: its id may be that of another one by then.
pub fn send(process_id: u32, signal: Signal) {
    if let Ok(pid) = i32::try_from(process_id) {
        let _ = kill(Pid::from_raw(pid), signal);
    }
}
