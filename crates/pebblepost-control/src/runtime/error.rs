//! Errors that prevent the program from starting.

use nanoserde::DeBinErr;
use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// An error that ends the program.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A setting that a control node requires is absent.
    #[error("settings: required key {setting} is missing")]
    MissingSetting {
        /// Key of the setting.
        setting: &'static str,
    },
    /// The disk can't be opened.
    #[error("cannot open the disk at {}", .path.display())]
    OpenDisk {
        /// Directory of the disk.
        path: PathBuf,
        /// The cause.
        source: Box<dyn StdError + Send + Sync>,
    },
    /// The records on disk can't be decoded.
    #[error("cannot decode the disk records at {}", .path.display())]
    DecodeRecords {
        /// Directory of the disk.
        path: PathBuf,
        /// The cause.
        source: DeBinErr,
    },
    /// The asynchronous runtime can't be started.
    #[error("cannot start the asynchronous runtime")]
    StartRuntime(#[source] io::Error),
    /// The thread of the HTTP server can't be started.
    #[error("cannot start the HTTP server thread")]
    StartHttp(#[source] io::Error),
    /// The link address can't be bound.
    #[error(transparent)]
    BindLinks(Box<dyn StdError + Send + Sync>),
    /// The address of the HTTP interface can't be bound.
    #[error("cannot bind the HTTP address {address}")]
    BindHttp {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The handler of a signal can't be installed.
    #[error("cannot install the handler of {signal}")]
    ListenForSignal {
        /// Name of the signal.
        signal: &'static str,
        /// The cause.
        source: io::Error,
    },
}
