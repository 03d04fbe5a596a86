//! Errors of the proxy's start.

use std::io;
use std::net::SocketAddr;

/// Why the proxy can't start.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// The runtime can't be built.
    #[error("starting the runtime")]
    Runtime(#[source] io::Error),
    /// The handler of a signal can't be installed.
    #[error("listening for {name}")]
    Signals {
        /// Name of the signal.
        name: &'static str,
        /// Cause.
        source: io::Error,
    },
    /// The settings have no address for a listener.
    #[error("the settings have no {key}")]
    MissingAddress {
        /// Key of the settings.
        key: &'static str,
    },
    /// A listener can't be opened.
    #[error("listening at {address} ({key})")]
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// Key of the settings.
        key: &'static str,
        /// Cause.
        source: io::Error,
    },
    /// The address of a listener can't be read.
    #[error(transparent)]
    LocalAddress(io::Error),
}
