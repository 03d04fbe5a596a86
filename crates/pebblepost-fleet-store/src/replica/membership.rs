//! Changes of the group's membership.

use super::Replica;
use super::commands::{WriteError, write_error_response};
use crate::client::{new_command, request_once};
use crate::protocol::{Request, Response};
use crate::raft_types::Peer;
use openraft::ChangeMembers;
use pebblepost_fleet::Action;
use std::collections::BTreeMap;
use std::io;
use thiserror::Error;

/// The reason why a group cannot be initialized with a replica.
#[derive(Debug, Error)]
enum NotNewError {
    #[error("keeper {id} is already part of a group")]
    AlreadyInGroup { id: u64 },
    #[error("the keeper at {address} does not have number {id} and the given disk")]
    OtherReplica { id: u64, address: String },
    #[error("keeper {id} at {address}: {error}")]
    Unreachable { id: u64, address: String, error: io::Error },
}

impl Replica {
    /// Initializes the group after every replica has confirmed that it is new and has the given disk. A
    /// replica that has been part of the group before must not initialize it again.
    pub(super) async fn initialize(&self, replicas: BTreeMap<u64, Peer>) -> Response {
        let own_id = self.config.id;
        if replicas.get(&own_id).map(|peer| peer.disk) != Some(self.disk.identity().disk) {
            return Response::Failed(format!("keeper {own_id} with its disk is not among the given keepers"));
        }
        for (id, peer) in replicas.iter().filter(|(id, _)| **id != own_id) {
            if let Err(error) = self.check_is_new(*id, peer).await {
                return Response::Failed(error.to_string());
            }
        }
        match self.raft.initialize(replicas).await {
            Ok(()) => Response::Done,
            Err(error) => Response::Failed(error.to_string()),
        }
    }

    async fn check_is_new(&self, id: u64, peer: &Peer) -> Result<(), NotNewError> {
        let address = self.config.dial_addresses.get(&id).unwrap_or(&peer.address);
        match request_once(address, &Request::Status).await {
            Ok(Response::Status(status)) if status.initialized => Err(NotNewError::AlreadyInGroup { id }),
            Ok(Response::Status(status)) if (status.id, status.disk) == (id, peer.disk) => Ok(()),
            Ok(_) => Err(NotNewError::OtherReplica { id, address: address.clone() }),
            Err(error) => Err(NotNewError::Unreachable { id, address: address.clone(), error }),
        }
    }

    /// Adds a learner. First commits that its number belongs to its disk.
    pub(super) async fn add_learner(&self, id: u64, peer: Peer) -> Response {
        let action = Action::AdmitReplica { replica: id, disk: peer.disk };
        match self.apply_command(new_command(self.name.clone(), action)).await {
            Response::Command(Ok(_)) => membership_response(self.raft.add_learner(id, peer, true).await),
            rejected => rejected,
        }
    }

    pub(super) async fn change_membership(&self, change: ChangeMembers<u64, Peer>) -> Response {
        membership_response(self.raft.change_membership(change, false).await)
    }
}

fn membership_response<T>(result: Result<T, WriteError>) -> Response {
    result.map_or_else(write_error_response, |_| Response::Done)
}
