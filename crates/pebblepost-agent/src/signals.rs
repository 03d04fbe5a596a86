//! Signals of the process.

use crate::error::AgentError;
use tokio::signal::unix::{self, SignalKind};
use tokio::sync::mpsc;

/// What the platform asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: shut down.
    Terminate,
    /// SIGHUP: the settings file has changed.
    Reload,
}

/// Signals that may wait; further ones would ask for the same.
const MAX_QUEUED_SIGNALS: usize = 4;

/// Receives the signals of the process, on the caller's `LocalSet`.
///
/// # Errors
/// [`AgentError::Signals`] if the handlers can't be installed.
pub(crate) fn listen() -> Result<mpsc::Receiver<Signal>, AgentError> {
    let mut terminate = install(SignalKind::terminate(), "SIGTERM")?;
    let mut hang_up = install(SignalKind::hangup(), "SIGHUP")?;
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_SIGNALS);
    tokio::task::spawn_local(async move {
        loop {
            let received = tokio::select! {
                _ = terminate.recv() => Signal::Terminate,
                _ = hang_up.recv() => Signal::Reload,
            };
            if sender.send(received).await.is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

fn install(kind: SignalKind, name: &'static str) -> Result<unix::Signal, AgentError> {
    unix::signal(kind).map_err(|source| AgentError::Signals { name, source })
}
