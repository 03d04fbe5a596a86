//! Why a command failed.

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

/// Why a command failed.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The group has rejected the change.
    #[error("refused: {0}")]
    Rejected(#[from] Rejection),
    /// No replica is named.
    #[error("no keepers: name them with --keepers 1=127.0.0.1:7501,2=... or in PEBBLEPOST_KEEPERS")]
    NoReplicas,
    /// A time-out out of its range.
    #[error("--within: 0.01 to 3600 seconds")]
    TimeoutOutOfRange,
    /// A replica on another machine.
    #[error("--keepers: {0} is no loopback address")]
    NotLoopback(SocketAddr),
    /// A name that the history does not take.
    #[error("--by: {0}")]
    Issuer(#[source] InvalidName),
    /// The system gives no descriptor for requests.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// An option that is no duration.
    #[error("--{option}: {seconds}: {error}")]
    Duration {
        /// Name of the option.
        option: &'static str,
        /// Its value, in seconds.
        seconds: f64,
        /// What is wrong with it.
        error: TryFromFloatSecsError,
    },
    /// A share out of its range.
    #[error("--drop: {0} is not within 0 and 1")]
    SuccessRateDrop(f64),
    /// A file that is to be restored or imported cannot be used.
    #[error("{}: {problem}", path.display())]
    Input {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        problem: FileProblem,
    },
    /// Another replica than the one that was named.
    #[error("keeper {actual} listens {}, not {expected}", location(.address.as_deref()))]
    OtherReplica {
        /// The number that was named.
        expected: u64,
        /// The number of the replica.
        actual: u64,
        /// Where it listens, if the error has to say so.
        address: Option<String>,
    },
    /// What is to be brought back has no permit.
    #[error("{0} has no permit")]
    NoPermit(Subject),
    /// No replica has responded: it is unknown whether the change was applied.
    #[error("{0}; it is not known whether it was done: ask again, or look at `fleet history`")]
    Unreachable(#[from] GroupUnreachable),
    /// A backup cannot be written.
    #[error("{}: {error}", path.display())]
    Output {
        /// The file.
        path: PathBuf,
        /// Why not.
        error: io::Error,
    },
    /// A dispatcher's agent did not do what it was asked for.
    #[error("{address}: {problem}")]
    Agent {
        /// Address of the agent.
        address: SocketAddr,
        /// Why not.
        problem: AgentProblem,
    },
    /// A replica's status is unknown.
    #[error("keeper {id}: {error}")]
    Status {
        /// Number of the replica.
        id: u64,
        /// Why.
        error: StatusError,
    },
    /// A replica at an address cannot be reached.
    #[error("{address}: {error}")]
    Address {
        /// The address.
        address: String,
        /// Why not.
        error: io::Error,
    },
    /// The first replica cannot be reached.
    #[error("{0}")]
    Io(#[source] io::Error),
    /// A replica could not do what it was asked for.
    #[error("{0}")]
    Replica(String),
    /// A response to another request.
    #[error("an answer out of place: {0:?}")]
    UnexpectedResponse(Box<Response>),
    /// No replica responds.
    #[error("no keeper answers")]
    NoReplicaResponds,
    /// A worker has not drained in time.
    #[error("{0} may not be switched off yet")]
    NotDrained(Name),
    /// The release that is driven is halted.
    #[error("the release is halted")]
    ReleaseHalted,
    /// A release would never end.
    #[error(transparent)]
    Simulation(SimulationError),
}

fn location(address: Option<&str>) -> String {
    address.map_or_else(|| "there".to_owned(), |address| format!("at {address}"))
}

/// What is wrong with a file that is to be restored or imported.
#[derive(Debug, Error)]
pub enum FileProblem {
    /// It cannot be read, or its checksum is wrong.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is not a backup.
    #[error("no backup: {0}")]
    NoBackup(serde_json::Error),
    /// It is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// It is not a file of the store's predecessor.
    #[error("no registers")]
    NoRegisters,
    /// A name in it, or its own, that the fleet store does not take.
    #[error(transparent)]
    Name(#[from] InvalidName),
}

/// Why a dispatcher's agent did not do what it was asked for.
#[derive(Debug, Error)]
pub enum AgentProblem {
    /// It cannot be reached.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Its reply is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Its own reason.
    #[error("{0}")]
    Rejected(String),
}

/// Why a replica's status is unknown.
#[derive(Debug, Error)]
pub enum StatusError {
    /// It cannot be reached.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It sent a response to another request.
    #[error("{0:?}")]
    UnexpectedResponse(Box<Response>),
}

impl FleetError {
    /// The exit code: 1 if the command was rejected or failed, 2 if it makes no sense, 3 if it is unknown whether it was
    /// done.
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
            | Self::NoReplicaResponds
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
            | Self::OtherReplica { .. }
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
