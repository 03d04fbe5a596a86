//! Errors that prevent the agent from starting.

use std::io;

/// Error that prevents the agent from starting.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// The async runtime can't be built.
    #[error("cannot build the async runtime of the agent")]
    Runtime(#[source] io::Error),
    /// A signal handler can't be installed.
    #[error("cannot install the handler of {name}")]
    Signals {
        /// Name of the signal.
        name: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
}
