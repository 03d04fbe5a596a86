//! A running replica: its Raft node, its listener, and what it answers.
//!
//! * `config`: its configuration.
//! * `server`: connections, and the dispatch of requests; `watch`: the streams of changes.
//! * `commands`, `membership`: what goes through the log of the group; `reads`: what does not.
//! * `leadership`: the sessions that it keeps while it leads, and what it concludes from them.

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

/// How long a command or read may take before it is answered with [`Response::Failed`].
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A peer that does not read a message within this time is disconnected.
const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long other replicas are waited for at the start.
const START_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a replica ended.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The disk cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// It cannot listen on its address.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The Raft node has stopped: the disk failed, or its content makes no sense.
    #[error("the keeper has stopped: {0}")]
    Stopped(String),
}

impl ReplicaError {
    fn stopped(error: impl std::fmt::Display) -> Self {
        Self::Stopped(error.to_string())
    }
}

/// A running replica.
#[derive(Clone)]
struct Replica {
    config: Arc<ReplicaConfig>,
    disk: Disk,
    state_machine: StateMachine,
    raft: Raft,
    /// The issuer of its own commands.
    name: Name,
    started_at: Instant,
    /// The sessions that it keeps as the leader of a term.
    sessions: Arc<Mutex<Option<LeaderSessions>>>,
}

/// Runs a replica until `stop`. `ready` is called with its address once it listens.
///
/// # Errors
///
/// The replica cannot start, or its Raft node has stopped.
pub async fn run(
    config: ReplicaConfig, ready: impl FnOnce(SocketAddr), stop: impl Future<Output = ()>,
) -> Result<(), ReplicaError> {
    // The listener first: a port that is taken must not leave a disk set up behind it.
    let listen = config.listen;
    let listen_error = |error| ReplicaError::Listen(listen, error);
    let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
    let replica = Replica::start(config).await?;
    tracing::info!(id = replica.config.id, %listen, "replica started");
    ready(listener.local_addr().map_err(listen_error)?);
    let result = tokio::select! {
        () = stop => Ok(()),
        why = replica.raft_stopped() => Err(ReplicaError::Stopped(why)),
        () = replica.clone().lead() => Ok(()),
        () = replica.clone().accept(listener) => Ok(()),
    };
    // It ends either way; an error of the shutdown changes nothing.
    let _ = replica.raft.shutdown().await;
    result
}

impl Replica {
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

    /// Waits until the Raft node has stopped, and says why.
    async fn raft_stopped(&self) -> String {
        let mut metrics = self.raft.metrics();
        loop {
            if let Err(fatal) = &metrics.borrow_and_update().running_state {
                return fatal.to_string();
            }
            if metrics.changed().await.is_err() {
                return "it has ended".to_owned();
            }
        }
    }
}

/// Checks that the disk is no copy from before what this replica has acknowledged, as far as a leader that
/// can be reached knows. A leader of an earlier term than the disk's vote proves nothing: what it was sent
/// may have been replaced since.
async fn check_not_outdated(disk: &Disk, config: &ReplicaConfig) -> Result<(), ReplicaError> {
    let known = disk.group_state().map_err(ReplicaError::stopped)?;
    let others = known.replicas.iter().filter(|(id, _)| **id != config.id);
    let statuses = others.map(async |(id, peer)| {
        let address = config.dial_addresses.get(id).unwrap_or(&peer.address);
        match timeout(START_CHECK_TIMEOUT, request_once(address, &Request::Status)).await {
            Ok(Ok(Response::Status(status))) => Some(*status),
            _ => None,
        }
    });
    for status in futures_util::future::join_all(statuses).await.into_iter().flatten() {
        let acknowledged_index = status.acknowledged_indexes.get(&config.id).copied().unwrap_or(0);
        let leads = status.leader == Some(status.id) && status.term >= known.term;
        if leads && acknowledged_index > known.last_index {
            return Err(DiskError::Outdated {
                path: disk.path().to_owned(),
                last_index: known.last_index,
                acknowledged_index,
                leader: status.id,
                term: status.term,
            }
            .into());
        }
    }
    Ok(())
}
