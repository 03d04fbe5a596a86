//! Configuration errors.

use pebblepost_dispatch::wire::WireError;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::path::Path;
use thiserror::Error;

/// A configuration value is invalid. The message is one line that names the file and the key.
#[derive(Debug, Error)]
#[error("{file}: {key}: {problem}")]
pub struct ConfigError {
    file: String,
    key: String,
    problem: ConfigProblem,
}

impl ConfigError {
    /// Creates an error at a key of the file `file`.
    pub fn new(file: &str, key: &str, problem: impl Into<ConfigProblem>) -> Self {
        Self { file: file.to_owned(), key: key.to_owned(), problem: problem.into() }
    }

    /// Creates an error at a key of the file at `path`.
    pub fn at_path(path: &Path, key: &str, problem: impl Into<ConfigProblem>) -> Self {
        Self::new(&path.display().to_string(), key, problem)
    }

    /// Returns what is wrong with the value.
    pub fn problem(&self) -> &ConfigProblem {
        &self.problem
    }
}

/// What is wrong with a value of the configuration.
#[derive(Debug, Error)]
pub enum ConfigProblem {
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file is not valid JSON, or does not have the expected structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The decision module rejects the settings.
    #[error(transparent)]
    Settings(#[from] WireError),
    /// A required key or file is missing.
    #[error("missing")]
    Missing,
    /// Neither `config.json` nor an operator file is given.
    #[error("missing, and no operator file is given")]
    NoFileNamed,
    /// The key is unknown.
    #[error("unknown key")]
    UnknownKey,
    /// The value is not an object.
    #[error("not an object")]
    NotObject,
    /// The value is not a string.
    #[error("not a string")]
    NotText,
    /// The value is not a boolean.
    #[error("not a boolean")]
    NotBoolean,
    /// The value is not a string, so it cannot be an address.
    #[error("not an address such as 127.0.0.1:8081")]
    NotAddress,
    /// The address is malformed.
    #[error("{text:?}: {error}")]
    Address {
        /// The configured text.
        text: String,
        /// The parse error.
        error: AddrParseError,
    },
    /// The address is not a loopback address. Any process that can reach it may change the replicated state.
    #[error("{0}: control and keepers must be loopback addresses")]
    NotLoopback(SocketAddr),
    /// The value is not a duration in seconds within the permitted range.
    #[error("not a number of seconds from 0.001 to 86400")]
    NotSeconds,
    /// The seed is a string that is not a hexadecimal number.
    #[error(transparent)]
    Seed(#[from] ParseIntError),
    /// The seed is neither an unsigned integer nor a string.
    #[error("neither an unsigned integer nor a hexadecimal string")]
    SeedType,
    /// The limit of file descriptors is too low.
    #[error("not an integer above 40")]
    TooFewDescriptors,
    /// The settings have no request classes.
    #[error("no request classes")]
    NoClasses,
    /// The platform has request classes besides the Faktory queues, but no worker kinds that keep the two apart.
    #[error("settings.kinds must name the kinds of the platform's own workers")]
    KindsMissing,
    /// There are more queues than class or kind indices (`u16`).
    #[error("too many queues")]
    TooManyQueues,
    /// The fleet store does not accept the text.
    #[error("text is too long or contains control characters")]
    UnusableText,
    /// The name of the replica's group is empty or too long.
    #[error("must be a name of 1 to 100 bytes")]
    GroupName,
    /// The replica's address has port 0.
    #[error("a port is missing")]
    PortMissing,
    /// The replica's address is not a loopback address.
    #[error("listen and dial must be loopback addresses")]
    ReplicaNotLoopback,
    /// The session time-to-live is out of range.
    #[error("must be 0.5 to 600 seconds")]
    SessionTtl,
    /// The interval of the leader's heartbeats is out of range.
    #[error("must be 20 to 5000 milliseconds")]
    HeartbeatInterval,
}

pub(super) type Result<T> = std::result::Result<T, ConfigError>;

pub(super) fn fail<T>(file: &str, key: &str, problem: impl Into<ConfigProblem>) -> Result<T> {
    Err(ConfigError::new(file, key, problem))
}
