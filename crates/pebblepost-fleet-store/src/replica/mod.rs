//! A running replica, with its Raft node, its listener and its responses to requests.
//!
//! * `config`: the configuration.
//! * `server`, `watch`: connections and the dispatch of requests, and the streams of changes.
//! * `commands`, `membership`: requests that go through the group's log.
//! * `reads`: requests that do not go through the log.
//! * `leadership`: the sessions that the leader keeps, and the commands that it derives from them.

mod commands;
mod config;
mod leadership;
mod membership;
mod reads;
mod server;
mod watch;

pub use config::ReplicaConfig;
pub use server::MAX_CONNECTIONS;

use crate::client::request_once;
use crate::network::Network;
use crate::protocol::{Request, Response};
use crate::raft_types::Raft;
use crate::state_machine::StateMachine;
use crate::storage::{Disk, DiskError};
use leadership::LeaderSessions;
use pebblepost_fleet::Name;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Time limit for a command or read. After it the response is [`Response::Failed`].
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for sending a message. A peer that does not read it in time is disconnected.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Time to wait for the status of each other replica at the start.
const STARTUP_STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// The reason why a replica could not start or has stopped.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The replica's disk cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The replica cannot listen on its address.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The Raft node could not start or has stopped, because the disk failed or its content is invalid.
    #[error("the keeper has stopped: {0}")]
    Stopped(String),
}

impl ReplicaError {
    fn stopped(error: impl std::fmt::Display) -> Self {
        Self::Stopped(error.to_string())
    }
}

/// A running replica. Clones share the same state.
#[derive(Clone)]
struct Replica {
    config: Arc<ReplicaConfig>,
    disk: Disk,
    state_machine: StateMachine,
    raft: Raft,
    /// The issuer in the commands that this replica creates itself.
    name: Name,
    started_at: Instant,
    /// The sessions that it keeps as leader. `None` until it leads for the first time.
    sessions: Arc<Mutex<Option<LeaderSessions>>>,
}

/// Runs a replica until `stop` completes. Calls `on_ready` with the replica's address once it listens.
///
/// # Errors
///
/// Returns an error if the replica cannot start or its Raft node stops.
pub async fn run(
    config: ReplicaConfig, on_ready: impl FnOnce(SocketAddr), stop: impl Future<Output = ()>,
) -> Result<(), ReplicaError> {
    // Binds the listener before the disk is opened, so that no disk is initialized if the port is in use.
    let listen = config.listen;
    let listen_error = |error| ReplicaError::Listen(listen, error);
    let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
    let replica = Replica::start(config).await?;
    tracing::info!(id = replica.config.id, %listen, "replica started");
    on_ready(listener.local_addr().map_err(listen_error)?);
    let result = tokio::select! {
        () = stop => Ok(()),
        reason = replica.wait_until_raft_stops() => Err(ReplicaError::Stopped(reason)),
        () = replica.clone().run_leader_tasks() => Ok(()),
        () = replica.clone().accept_connections(listener) => Ok(()),
    };
    // The replica ends in any case, so an error of the shutdown is ignored.
    let _ = replica.raft.shutdown().await;
    result
}

impl Replica {
    /// Opens the disk, checks that it is not outdated, and starts the Raft node.
    async fn start(config: ReplicaConfig) -> Result<Self, ReplicaError> {
        let disk = Disk::open(&config.data_dir, &config.group, config.id, rand::random())?;
        let state_machine = StateMachine::open(disk.clone()).map_err(ReplicaError::stopped)?;
        check_not_outdated(&disk, &config).await?;
        let raft_config = config.raft_config().map_err(ReplicaError::stopped)?;
        let network = Network { group: config.group.clone(), dial_addresses: config.dial_addresses.clone() };
        let raft = Raft::new(config.id, raft_config, network, disk.clone(), state_machine.clone());
        let raft = raft.await.map_err(ReplicaError::stopped)?;
        let started_at = Instant::now();
        let name = format!("keeper {}", config.id).parse().map_err(ReplicaError::stopped)?;
        let (config, sessions) = (Arc::new(config), Arc::default());
        Ok(Self { config, disk, state_machine, raft, name, started_at, sessions })
    }

    /// Waits until the Raft node has stopped and returns the reason.
    async fn wait_until_raft_stops(&self) -> String {
        let mut metrics = self.raft.metrics();
        loop {
            if let Err(fatal) = &metrics.borrow_and_update().running_state {
                return fatal.to_string();
            }
            if metrics.changed().await.is_err() {
                return "the Raft node has ended".to_owned();
            }
        }
    }
}

/// Checks that the disk contains all entries that this replica has acknowledged, according to the leader if
/// it can be reached.
///
/// The status of a leader with a lower term than the vote on the disk is ignored, because the entries that
/// were acknowledged to it may have been replaced since.
async fn check_not_outdated(disk: &Disk, config: &ReplicaConfig) -> Result<(), ReplicaError> {
    let recorded = disk.group_state().map_err(ReplicaError::stopped)?;
    let others = recorded.replicas.iter().filter(|(id, _)| **id != config.id);
    let statuses = others.map(async |(id, peer)| {
        let address = config.dial_addresses.get(id).unwrap_or(&peer.address);
        match timeout(STARTUP_STATUS_TIMEOUT, request_once(address, &Request::Status)).await {
            Ok(Ok(Response::Status(status))) => Some(*status),
            _ => None,
        }
    });
    for status in futures_util::future::join_all(statuses).await.into_iter().flatten() {
        let acknowledged_index = status.acknowledged_indexes.get(&config.id).copied().unwrap_or(0);
        let is_leader = status.leader == Some(status.id) && status.term >= recorded.term;
        if is_leader && acknowledged_index > recorded.last_index {
            return Err(DiskError::Outdated {
                path: disk.path().to_owned(),
                last_index: recorded.last_index,
                acknowledged_index,
                leader: status.id,
                term: status.term,
            }
            .into());
        }
    }
    Ok(())
}
