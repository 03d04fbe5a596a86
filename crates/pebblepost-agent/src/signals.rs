//! Signals of the platform.

use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// What the platform asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// End (SIGTERM).
    Terminate,
    /// The settings file has changed (SIGHUP).
    Reload,
}

/// Signals that may wait; more of them say nothing new.
const MOST_WAITING: usize = 4;

/// Hands out the process's signals, on the caller's `LocalSet`.
pub(crate) fn listen() -> Result<mpsc::Receiver<Signal>> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("listening for SIGTERM")?;
    let mut reload = signal(SignalKind::hangup()).wrap_err("listening for SIGHUP")?;
    let (sender, receiver) = mpsc::channel(MOST_WAITING);
    tokio::task::spawn_local(async move {
        loop {
            let received = tokio::select! {
                _ = terminate.recv() => Signal::Terminate,
                _ = reload.recv() => Signal::Reload,
            };
            if sender.send(received).await.is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}
