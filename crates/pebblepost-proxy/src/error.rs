//! Errors that prevent the proxy from starting.

use std::io;
use std::net::SocketAddr;

/// Error that prevents the proxy from starting.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// The async runtime can't be built.
    #[error("cannot build the async runtime")]
    Runtime(#[source] io::Error),
    /// A signal handler can't be installed.
    #[error("cannot install the handler of {name}")]
    Signals {
        /// Name of the signal.
        name: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The settings lack the address of a listener.
    #[error("setting {key} is missing")]
    MissingAddress {
        /// Key of the missing setting.
        key: &'static str,
    },
    /// A listener can't be opened.
    #[error("cannot listen on {address} (setting {key})")]
    Listen {
        /// Address that can't be listened on.
        address: SocketAddr,
        /// Key of the setting that holds the address.
        key: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The local address of a listener can't be read.
    #[error("cannot read the local address of a listener")]
    LocalAddress(#[source] io::Error),
}
