//! Signals that the process handles.

use crate::error::ProxyError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receives SIGTERM and SIGHUP. Once it has been created, neither signal ends the process by default.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// Returns [`ProxyError::Signals`] if a handler can't be installed.
    ///
    /// # Panics
    /// Panics outside of a Tokio runtime.
    pub fn listen() -> Result<Signals, ProxyError> {
        Ok(Signals {
            terminate: receive(SignalKind::terminate(), "SIGTERM")?,
            hang_up: receive(SignalKind::hangup(), "SIGHUP")?,
        })
    }

    /// Waits for SIGHUP.
    pub(crate) async fn hang_up(&mut self) {
        self.hang_up.recv().await;
    }

    /// Waits for the next signal of either kind.
    pub(crate) async fn next(&mut self) -> ReceivedSignal {
        tokio::select! {
            _ = self.terminate.recv() => ReceivedSignal::Terminate,
            _ = self.hang_up.recv() => ReceivedSignal::HangUp,
        }
    }
}

/// A signal that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceivedSignal {
    /// SIGTERM: shut down.
    Terminate,
    /// SIGHUP: reload the settings.
    HangUp,
}

fn receive(kind: SignalKind, name: &'static str) -> Result<Signal, ProxyError> {
    signal(kind).map_err(|source| ProxyError::Signals { name, source })
}
