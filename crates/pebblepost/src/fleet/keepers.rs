//! The keepers: how they stand, beginning a group, adding one.

use super::Desk;
use super::error::{FleetError, Result, misplaced};
use pebblepost_fleet_store::client::request_once;
use pebblepost_fleet_store::protocol::{ReplicaStatus, Request, Response};
use pebblepost_fleet_store::raft_types::Peer;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl Desk {
    pub(super) async fn statuses(&self) -> Vec<(u64, std::result::Result<ReplicaStatus, String>)> {
        let mut all = Vec::new();
        for (id, address) in &self.keepers {
            let status = match request_once(address, &Request::Status).await {
                Ok(Response::Status(status)) => Ok(*status),
                Ok(other) => Err(format!("{other:?}")),
                Err(error) => Err(error.to_string()),
            };
            all.push((*id, status));
        }
        all
    }

    /// Begins the group, with each keeper's disk as it is now.
    pub(super) async fn begin(&mut self) -> Result<()> {
        let mut group = BTreeMap::new();
        for (id, status) in self.statuses().await {
            match status {
                Ok(s) if s.id == id => {
                    let address = self.keepers.get(&id).cloned().unwrap_or_default();
                    group.insert(id, Peer { address, disk: s.disk });
                }
                Ok(s) => return Err(FleetError::Usage(format!("keeper {} listens there, not {id}", s.id))),
                Err(why) => return Err(FleetError::Failed(format!("keeper {id}: {why}"))),
            }
        }
        match request_once(
            self.keepers.values().next().map_or("", String::as_str),
            &Request::Initialize(group),
        )
        .await
        {
            Ok(Response::Done) => {
                self.say(json!({"done": true}), &|| "the group has begun".to_owned());
                Ok(())
            }
            Ok(Response::Failed(why)) => Err(FleetError::Failed(why)),
            Ok(other) => Err(misplaced(&other)),
            Err(error) => Err(FleetError::Failed(error.to_string())),
        }
    }

    pub(super) async fn status(&mut self) -> Result<()> {
        let all = self.statuses().await;
        for (id, status) in &all {
            match status {
                Ok(s) => self.say(json!(s), &|| {
                    let leader = s.leader.map_or_else(|| "nobody".to_owned(), |l| l.to_string());
                    format!(
                        "keeper {id}: group {:?}, led by {leader} in term {}, revision {}, log {} (applied {}), voters {:?}",
                        s.group, s.term, s.revision, s.last_log_index, s.applied_index, s.voters
                    )
                }),
                Err(why) => self.say(json!({"id": id, "error": why}), &|| format!("keeper {id}: {why}")),
            }
        }
        if all.iter().all(|(_, s)| s.is_err()) {
            return Err(FleetError::Failed("no keeper answers".to_owned()));
        }
        Ok(())
    }

    pub(super) async fn add(&mut self, id: u64, address: SocketAddr) -> Result<()> {
        let address = address.to_string();
        let status = match request_once(&address, &Request::Status).await {
            Ok(Response::Status(status)) if status.id == id => *status,
            Ok(Response::Status(s)) => {
                return Err(FleetError::Usage(format!("keeper {} listens at {address}, not {id}", s.id)));
            }
            Ok(other) => return Err(misplaced(&other)),
            Err(error) => return Err(FleetError::Failed(format!("{address}: {error}"))),
        };
        match self.ask(&Request::AddLearner(id, Peer { address, disk: status.disk })).await? {
            Response::Done => self.done(&Request::Promote(id)).await,
            Response::Command(Err(refused)) => Err(refused.into()),
            other => Err(misplaced(&other)),
        }
    }
}
