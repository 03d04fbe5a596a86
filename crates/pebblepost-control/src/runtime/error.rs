//! Why the program could not start.

use nanoserde::DeBinErr;
use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// An error that ends the program.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A setting that this role requires is absent.
    #[error("settings: {setting} is missing")]
    MissingSetting {
        /// Its key.
        setting: &'static str,
    },
    /// The disk can't be opened.
    #[error("opening the disk at {}", .path.display())]
    OpenDisk {
        /// Its directory.
        path: PathBuf,
        /// The cause.
        source: Box<dyn StdError + Send + Sync>,
    },
    /// The records on disk are not in a known form.
    #[error("reading the records at {}", .path.display())]
    DecodeRecords {
        /// Directory of the disk.
        path: PathBuf,
        /// The cause.
        source: DeBinErr,
    },
    /// The asynchronous runtime can't be started.
    #[error("starting the runtime")]
    StartRuntime(#[source] io::Error),
    /// The thread of the HTTP server can't be started.
    #[error("starting the HTTP server")]
    StartHttp(#[source] io::Error),
    /// The link address can't be bound.
    #[error(transparent)]
    BindLinks(Box<dyn StdError + Send + Sync>),
    /// The address of the HTTP interface can't be bound.
    #[error("listening at {address}")]
    BindHttp {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A signal can't be listened for.
    #[error("listening for {signal}")]
    ListenForSignal {
        /// Its name.
        signal: &'static str,
        /// The cause.
        source: io::Error,
    },
}
