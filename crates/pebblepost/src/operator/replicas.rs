//! Commands for the fleet store's replicas: status, initialization of a group, and adding a replica.

use super::client::OperatorClient;
use super::error::{FleetError, Result, StatusError};
use pebblepost_fleet_store::client::request_once;
use pebblepost_fleet_store::protocol::{ReplicaStatus, Request, Response};
use pebblepost_fleet_store::raft_types::Peer;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl OperatorClient {
    /// Requests the status of each replica given on the command line, by number.
    async fn request_statuses(&self) -> Vec<(u64, std::result::Result<ReplicaStatus, StatusError>)> {
        let mut statuses = Vec::new();
        for (id, address) in &self.replicas {
            let status = match request_once(address, &Request::Status).await {
                Ok(Response::Status(status)) => Ok(*status),
                Ok(other) => Err(StatusError::UnexpectedResponse(Box::new(other))),
                Err(error) => Err(error.into()),
            };
            statuses.push((*id, status));
        }
        statuses
    }

    /// Initializes the group with all replicas given on the command line, each with the disk id that it reports.
    pub(super) async fn initialize_group(&mut self) -> Result<()> {
        let mut group = BTreeMap::new();
        for (id, status) in self.request_statuses().await {
            let status = status.map_err(|error| FleetError::Status { id, error })?;
            if status.id != id {
                return Err(FleetError::ReplicaIdMismatch { expected: id, actual: status.id, address: None });
            }
            let address = self.replicas.get(&id).cloned().unwrap_or_default();
            group.insert(id, Peer { address, disk: status.disk });
        }
        let first = self.replicas.values().next().map_or("", String::as_str);
        match request_once(first, &Request::Initialize(group)).await {
            Ok(Response::Done) => {
                self.print(json!({"done": true}), &|| "the group has begun".to_owned());
                Ok(())
            }
            Ok(Response::Failed(reason)) => Err(FleetError::Replica(reason)),
            Ok(other) => Err(FleetError::unexpected(other)),
            Err(error) => Err(FleetError::Io(error)),
        }
    }

    /// Prints the status of each replica; fails if none could be read.
    pub(super) async fn status(&mut self) -> Result<()> {
        let statuses = self.request_statuses().await;
        for (id, status) in &statuses {
            match status {
                Ok(status) => self.print(json!(status), &|| format_status(*id, status)),
                Err(error) => {
                    let error = error.to_string();
                    self.print(json!({"id": id, "error": error}), &|| format!("keeper {id}: {error}"));
                }
            }
        }
        if statuses.iter().all(|(_, status)| status.is_err()) {
            return Err(FleetError::NoReplicaResponded);
        }
        Ok(())
    }

    /// Adds a replica to the group as a learner, then promotes it to a voter.
    pub(super) async fn add_replica(&mut self, id: u64, address: SocketAddr) -> Result<()> {
        let address = address.to_string();
        let status = match request_once(&address, &Request::Status).await {
            Ok(Response::Status(status)) => *status,
            Ok(other) => return Err(FleetError::unexpected(other)),
            Err(error) => return Err(FleetError::Address { address, error }),
        };
        if status.id != id {
            let (expected, actual, address) = (id, status.id, Some(address));
            return Err(FleetError::ReplicaIdMismatch { expected, actual, address });
        }
        match self.request(&Request::AddLearner(id, Peer { address, disk: status.disk })).await? {
            Response::Done => self.request_done(&Request::Promote(id)).await,
            Response::Command(Err(rejection)) => Err(rejection.into()),
            other => Err(FleetError::unexpected(other)),
        }
    }
}

fn format_status(id: u64, status: &ReplicaStatus) -> String {
    let leader = status.leader.map_or_else(|| "nobody".to_owned(), |leader| leader.to_string());
    format!(
        "keeper {id}: group {:?}, led by {leader} in term {}, revision {}, log {} (applied {}), voters {:?}",
        status.group,
        status.term,
        status.revision,
        status.last_log_index,
        status.applied_index,
        status.voters
    )
}
