//! Errors of the configuration.

use pebblepost_dispatch::wire::WireError;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::path::Path;
use thiserror::Error;

/// Why the program cannot start: one line that names the file and the key.
#[derive(Debug, Error)]
#[error("{file}: {key}: {problem}")]
pub struct ConfigError {
    file: String,
    key: String,
    problem: ConfigProblem,
}

impl ConfigError {
    /// An error at a key of a file.
    pub fn new(file: &str, key: &str, problem: impl Into<ConfigProblem>) -> Self {
        Self { file: file.to_owned(), key: key.to_owned(), problem: problem.into() }
    }

    /// An error at a key of the file at a path.
    pub fn at_path(path: &Path, key: &str, problem: impl Into<ConfigProblem>) -> Self {
        Self::new(&path.display().to_string(), key, problem)
    }

    /// What is wrong.
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
    /// The file is not JSON, or not of the form that is expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The decision module does not accept the settings.
    #[error(transparent)]
    Settings(#[from] WireError),
    /// A key or file that is needed is not there.
    #[error("missing")]
    Missing,
    /// Neither configuration file is named.
    #[error("missing, and no operator's file is named")]
    NoFileNamed,
    /// A key that is not known.
    #[error("unknown key")]
    UnknownKey,
    /// Not an object.
    #[error("not an object")]
    NotObject,
    /// Not a string.
    #[error("not a text")]
    NotText,
    /// Not a boolean.
    #[error("not true or false")]
    NotBoolean,
    /// Not a string that could be an address.
    #[error("not an address such as 127.0.0.1:8081")]
    NotAddress,
    /// A malformed address.
    #[error("{text:?}: {error}")]
    Address {
        /// What stands there.
        text: String,
        /// What is wrong with it.
        error: AddrParseError,
    },
    /// An address of another machine, where whoever reaches it may change the agreed state.
    #[error("{0}: control and keepers must be loopback addresses")]
    NotLoopback(SocketAddr),
    /// Not a duration in seconds.
    #[error("not a number of seconds up to a day")]
    NotSeconds,
    /// A seed that is no hexadecimal number.
    #[error(transparent)]
    Seed(#[from] ParseIntError),
    /// A seed of another type.
    #[error("not a number in hexadecimal")]
    SeedType,
    /// Too few file descriptors.
    #[error("not a number above 40")]
    TooFewDescriptors,
    /// Settings without classes.
    #[error("no class of requests")]
    NoClasses,
    /// Classes of the platform beside Faktory queues, without machine types to keep them apart.
    #[error("settings.kinds must name the kinds of the platform's own workers")]
    KindsMissing,
    /// More queues than the decision module can number.
    #[error("too many queues")]
    TooManyQueues,
    /// A text that the fleet store does not take.
    #[error("too long, or with control characters")]
    UnusableText,
    /// Name of a replica's group.
    #[error("a name of 1 to 100 bytes")]
    GroupName,
    /// An address of a replica without a port.
    #[error("a port is missing")]
    PortMissing,
    /// A replica's address on another machine.
    #[error("listen and dial must be loopback addresses")]
    ReplicaNotLoopback,
    /// Lifetime of a session.
    #[error("0.5 to 600 seconds")]
    SessionTtl,
    /// Interval of the leader's heartbeats.
    #[error("20 to 5000 milliseconds")]
    HeartbeatInterval,
}

pub(super) type Result<T> = std::result::Result<T, ConfigError>;

pub(super) fn fail<T>(file: &str, key: &str, problem: impl Into<ConfigProblem>) -> Result<T> {
    Err(ConfigError::new(file, key, problem))
}
