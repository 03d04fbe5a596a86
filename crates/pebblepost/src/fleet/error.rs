//! Why a command came to nothing.

use pebblepost_fleet::Rejection;
use pebblepost_fleet_store::client::Unreachable;
use pebblepost_fleet_store::protocol::Response;
use std::process::ExitCode;
use thiserror::Error;

/// Why a command came to nothing. The exit code tells the kinds apart.
#[derive(Debug, Error)]
pub enum FleetError {
    /// Exit code 1: the group has refused it.
    #[error("refused: {0}")]
    Refused(#[from] Rejection),
    /// Exit code 2: it makes no sense.
    #[error("{0}")]
    Usage(String),
    /// Exit code 3: it is not known whether it was done.
    #[error("{0}; it is not known whether it was done: ask again, or look at `fleet history`")]
    Unreachable(#[from] Unreachable),
    /// Exit code 1: a keeper could not do it.
    #[error("{0}")]
    Failed(String),
}

impl FleetError {
    /// The exit code.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) | Self::Failed(_) => 1,
            Self::Usage(_) => 2,
            Self::Unreachable(_) => 3,
        })
    }
}

pub(super) type Result<T> = std::result::Result<T, FleetError>;

pub(super) fn misplaced(say: &Response) -> FleetError {
    FleetError::Failed(format!("an answer out of place: {say:?}"))
}
