//! Errors of the agent's start.

use std::io;

/// Why the agent can't start.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// The runtime can't be built.
    #[error("starting the runtime of the agent")]
    Runtime(#[source] io::Error),
    /// The handler of a signal can't be installed.
    #[error("listening for {name}")]
    Signals {
        /// Name of the signal.
        name: &'static str,
        /// Cause.
        source: io::Error,
    },
}
