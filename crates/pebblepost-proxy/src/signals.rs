//! Signals of the process.

use crate::error::ProxyError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receives SIGTERM and SIGHUP; neither ends the process by itself once this exists.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Starts receiving.
    ///
    /// # Errors
    /// [`ProxyError::Signals`] if the handlers can't be installed.
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

    /// Waits for either.
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
    /// SIGHUP: read the settings again.
    HangUp,
}

fn receive(kind: SignalKind, name: &'static str) -> Result<Signal, ProxyError> {
    signal(kind).map_err(|source| ProxyError::Signals { name, source })
}
