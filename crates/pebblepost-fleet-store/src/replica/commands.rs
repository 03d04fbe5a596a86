//! Commands, which are written to the log, and Raft messages from other replicas.

use super::Replica;
use crate::protocol::{RaftEnvelope, RaftMessage, RaftReply, Response};
use crate::raft_types::Peer;
use openraft::error::{ClientWriteError, RaftError};
use pebblepost_fleet::{Action, Command};

/// The reason why openraft has not written an entry.
pub(super) type WriteError = RaftError<u64, ClientWriteError<u64, Peer>>;

impl Replica {
    /// Writes a command to the log and responds with its result once it is applied.
    pub(super) async fn apply_command(&self, command: Command) -> Response {
        let joining_member = match &command.action {
            Action::Join { member, .. } => Some(member.clone()),
            _ => None,
        };
        let written = match self.raft.client_write(command).await {
            Ok(written) => written,
            Err(error) => return write_error_response(error),
        };
        let Some(result) = written.data.0 else {
            return Response::Failed("the written log entry contains no command".to_owned());
        };
        if let (Some(member), Ok(outcome)) = (joining_member, &result) {
            // A join counts as the first heartbeat of its session.
            self.heartbeat(&member, outcome.session.unwrap_or(0), None);
        }
        Response::Command(result)
    }

    /// Passes a message from another replica to the Raft node if its target is this replica with this disk.
    pub(super) async fn handle_raft_message(&self, envelope: RaftEnvelope) -> Response {
        let own = self.disk.identity();
        let RaftEnvelope { group, target, disk, message } = envelope;
        if (&group, target, disk) != (&own.group, own.id, own.disk) {
            // A replica that has lost its disk has also lost its vote, and must not vote again in the same
            // term.
            return Response::Failed(format!(
                "this is keeper {} of group {:?} with disk {:016x}, but the Raft message is for keeper {} of \
                 group {:?} with disk {:016x}",
                own.id, own.group, own.disk, target, group, disk
            ));
        }
        let failed = |error: &dyn std::fmt::Display| Response::Failed(error.to_string());
        match message {
            RaftMessage::AppendEntries(rpc) => match self.raft.append_entries(rpc).await {
                Ok(reply) => Response::Raft(RaftReply::AppendEntries(reply)),
                Err(error) => failed(&error),
            },
            RaftMessage::Vote(rpc) => match self.raft.vote(rpc).await {
                Ok(reply) => Response::Raft(RaftReply::Vote(reply)),
                Err(error) => failed(&error),
            },
            RaftMessage::InstallSnapshot(rpc) => match self.raft.install_snapshot(rpc).await {
                Ok(reply) => Response::Raft(RaftReply::InstallSnapshot(reply)),
                Err(error) => failed(&error),
            },
        }
    }
}

/// Returns the response to a request whose log entry was not written.
pub(super) fn write_error_response(error: WriteError) -> Response {
    match error {
        RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => Response::NotLeader(to.leader_id),
        other => Response::Failed(other.to_string()),
    }
}
