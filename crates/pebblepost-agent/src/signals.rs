//! Signals that the process handles.

use crate::error::AgentError;
use tokio::signal::unix::{self, SignalKind};
use tokio::sync::mpsc;

/// Signal to the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: shut down.
    Terminate,
    /// SIGHUP: read the settings again.
    Reload,
}

/// Maximum number of queued signals. Further ones would only repeat those that are queued.
const MAX_QUEUED_SIGNALS: usize = 4;

/// Installs the signal handlers and returns a channel of received signals. The task that receives them
/// runs on the caller's `LocalSet`.
///
/// # Errors
/// Returns [`AgentError::Signals`] if a handler can't be installed.
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
