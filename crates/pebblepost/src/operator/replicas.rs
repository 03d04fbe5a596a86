//! The replicas of the fleet store: their status, beginning a group, adding one.

use super::client::OperatorClient;
use super::error::{FleetError, Result, StatusError};
use pebblepost_fleet_store::client::request_once;
use pebblepost_fleet_store::protocol::{ReplicaStatus, Request, Response};
use pebblepost_fleet_store::raft_types::Peer;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl OperatorClient {
    /// The status of each replica that was named, by number.
    async fn statuses(&self) -> Vec<(u64, std::result::Result<ReplicaStatus, StatusError>)> {
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

    /// Begins the group, with each replica's disk as it is now.
    pub(super) async fn begin(&mut self) -> Result<()> {
        let mut group = BTreeMap::new();
        for (id, status) in self.statuses().await {
            let status = status.map_err(|error| FleetError::Status { id, error })?;
            if status.id != id {
                return Err(FleetError::OtherReplica { expected: id, actual: status.id, address: None });
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

    /// Prints the status of each replica.
    pub(super) async fn status(&mut self) -> Result<()> {
        let statuses = self.statuses().await;
        for (id, status) in &statuses {
            match status {
                Ok(status) => self.print(json!(status), &|| status_text(*id, status)),
                Err(error) => {
                    let error = error.to_string();
                    self.print(json!({"id": id, "error": error}), &|| format!("keeper {id}: {error}"));
                }
            }
        }
        if statuses.iter().all(|(_, status)| status.is_err()) {
            return Err(FleetError::NoReplicaResponds);
        }
        Ok(())
    }

    /// Adds a replica to the group, first without a vote, then with one.
    pub(super) async fn add(&mut self, id: u64, address: SocketAddr) -> Result<()> {
        let address = address.to_string();
        let status = match request_once(&address, &Request::Status).await {
            Ok(Response::Status(status)) => *status,
            Ok(other) => return Err(FleetError::unexpected(other)),
            Err(error) => return Err(FleetError::Address { address, error }),
        };
        if status.id != id {
            let (expected, actual, address) = (id, status.id, Some(address));
            return Err(FleetError::OtherReplica { expected, actual, address });
        }
        match self.request(&Request::AddLearner(id, Peer { address, disk: status.disk })).await? {
            Response::Done => self.request_done(&Request::Promote(id)).await,
            Response::Command(Err(rejection)) => Err(rejection.into()),
            other => Err(FleetError::unexpected(other)),
        }
    }
}

fn status_text(id: u64, status: &ReplicaStatus) -> String {
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
