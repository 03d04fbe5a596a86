//! Errors of the operator's commands.

use pebblepost_fleet::name::InvalidName;
use pebblepost_fleet::simulation::SimulationError;
use pebblepost_fleet::{Name, Rejection, Subject};
use pebblepost_fleet_store::client::GroupUnreachable;
use pebblepost_fleet_store::protocol::Response;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::TryFromFloatSecsError;
use thiserror::Error;

/// An operator's command failed.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The store group rejected the change.
    #[error("refused: {0}")]
    Rejected(#[from] Rejection),
    /// No replica is given on the command line or in the environment.
    #[error("no keepers: name them with --keepers 1=127.0.0.1:7501,2=... or in PEBBLEPOST_KEEPERS")]
    NoReplicas,
    /// The time-out is out of range.
    #[error("--within: must be 0.01 to 3600 seconds")]
    TimeoutOutOfRange,
    /// A replica's address is not a loopback address.
    #[error("--keepers: {0} is not a loopback address")]
    NotLoopback(SocketAddr),
    /// The issuer is not a valid name.
    #[error("--by: {0}")]
    Issuer(#[source] InvalidName),
    /// The runtime for requests cannot be created.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The value of an option is not a valid duration.
    #[error("--{option}: {seconds}: {error}")]
    Duration {
        /// Name of the option.
        option: &'static str,
        /// Its value, in seconds.
        seconds: f64,
        /// The conversion error.
        error: TryFromFloatSecsError,
    },
    /// The permitted drop of the success rate is out of range.
    #[error("--drop: {0} is not between 0 and 1")]
    SuccessRateDrop(f64),
    /// A file to restore or import cannot be used.
    #[error("{}: {problem}", path.display())]
    Input {
        /// The file.
        path: PathBuf,
        /// What is wrong with the file.
        problem: FileProblem,
    },
    /// The replica at an address has another number than the one given.
    #[error("keeper {actual} listens {}, not {expected}", format_location(.address.as_deref()))]
    ReplicaIdMismatch {
        /// The number given on the command line.
        expected: u64,
        /// The number that the replica reports.
        actual: u64,
        /// Address of the replica, if the message should contain it.
        address: Option<String>,
    },
    /// The subject whose permit should be completed has none.
    #[error("{0} has no permit")]
    NoPermit(Subject),
    /// No replica responded, so it is unknown whether the request was applied.
    #[error("{0}; it is unknown whether the request was applied: retry, or check `fleet history`")]
    Unreachable(#[from] GroupUnreachable),
    /// A backup cannot be written.
    #[error("{}: {error}", path.display())]
    Output {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        error: io::Error,
    },
    /// A request to a dispatcher's agent failed.
    #[error("{address}: {problem}")]
    Agent {
        /// Address of the agent.
        address: SocketAddr,
        /// Why the request failed.
        problem: AgentProblem,
    },
    /// The status of a replica could not be read.
    #[error("keeper {id}: {error}")]
    Status {
        /// Number of the replica.
        id: u64,
        /// Why the status could not be read.
        error: StatusError,
    },
    /// The replica at an address cannot be reached.
    #[error("{address}: {error}")]
    Address {
        /// The address.
        address: String,
        /// The I/O error.
        error: io::Error,
    },
    /// The first replica cannot be reached.
    #[error("{0}")]
    Io(#[source] io::Error),
    /// A replica reported that a request failed.
    #[error("{0}")]
    Replica(String),
    /// The response does not match the request.
    #[error("unexpected response: {0:?}")]
    UnexpectedResponse(Box<Response>),
    /// No replica responded.
    #[error("no keeper responded")]
    NoReplicaResponded,
    /// A worker did not finish draining within the time-out.
    #[error("{0} may not be switched off yet")]
    NotDrained(Name),
    /// The release was halted while it was driven.
    #[error("the release is halted")]
    ReleaseHalted,
    /// The simulation found that a release would never finish.
    #[error(transparent)]
    Simulation(SimulationError),
}

fn format_location(address: Option<&str>) -> String {
    address.map_or_else(|| "there".to_owned(), |address| format!("at {address}"))
}

/// A problem with a file to restore or import.
#[derive(Debug, Error)]
pub enum FileProblem {
    /// The file cannot be read, or its checksum is wrong.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file is not a backup.
    #[error("not a backup: {0}")]
    NotBackup(serde_json::Error),
    /// The file is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The file is not one of the store's predecessor.
    #[error("not a file of the earlier store: no object `registers`")]
    RegistersMissing,
    /// The fleet store does not accept a name in the file, or the path of the file as a reason.
    #[error(transparent)]
    Name(#[from] InvalidName),
}

/// A request to a dispatcher's agent failed.
#[derive(Debug, Error)]
pub enum AgentProblem {
    /// The agent cannot be reached.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The agent's reply is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The agent rejected the request, for the reason it gives.
    #[error("{0}")]
    Rejected(String),
}

/// The status of a replica could not be read.
#[derive(Debug, Error)]
pub enum StatusError {
    /// The replica cannot be reached.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The replica's response does not match the request.
    #[error("{0:?}")]
    UnexpectedResponse(Box<Response>),
}

impl FleetError {
    /// Returns the exit code: 1 if the command was rejected or failed, 2 if its arguments are invalid, 3 if it is unknown
    /// whether it was applied.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Rejected(_)
            | Self::Output { .. }
            | Self::Agent { .. }
            | Self::Status { .. }
            | Self::Address { .. }
            | Self::Io(_)
            | Self::Replica(_)
            | Self::UnexpectedResponse(_)
            | Self::NoReplicaResponded
            | Self::NotDrained(_)
            | Self::ReleaseHalted
            | Self::Simulation(_) => 1,
            Self::NoReplicas
            | Self::TimeoutOutOfRange
            | Self::NotLoopback(_)
            | Self::Issuer(_)
            | Self::Runtime(_)
            | Self::Duration { .. }
            | Self::SuccessRateDrop(_)
            | Self::Input { .. }
            | Self::ReplicaIdMismatch { .. }
            | Self::NoPermit(_) => 2,
            Self::Unreachable(_) => 3,
        })
    }

    pub(super) fn unexpected(response: Response) -> Self {
        Self::UnexpectedResponse(Box::new(response))
    }

    pub(super) fn input(path: &Path, problem: impl Into<FileProblem>) -> Self {
        Self::Input { path: path.to_owned(), problem: problem.into() }
    }
}

pub(super) type Result<T> = std::result::Result<T, FleetError>;
