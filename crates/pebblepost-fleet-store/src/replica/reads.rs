//! Reads of the state and of the replica's status.

use super::Replica;
use crate::protocol::{ReplicaStatus, Response};
use pebblepost_fleet::Key;

/// Most changes in the answer to a request for the history.
const MAX_HISTORY: usize = 1_000;

impl Replica {
    /// The values at these keys, read linearizably.
    pub(super) async fn get(&self, keys: &[Key]) -> Response {
        if let Err(not_read) = self.ensure_linearizable().await {
            return not_read;
        }
        let state = self.state_machine.read();
        let entries = match keys {
            [] => state.snapshot().entries,
            keys => keys.iter().filter_map(|key| Some((key.clone(), state.get(key)?.clone()))).collect(),
        };
        Response::Entries { revision: state.revision(), entries }
    }

    /// The last changes that this replica has applied.
    pub(super) fn history(&self, max: usize) -> Response {
        let state = self.state_machine.read();
        let mut changes: Vec<_> = state.history().rev().take(max.min(MAX_HISTORY)).cloned().collect();
        changes.reverse();
        Response::History(changes)
    }

    pub(super) async fn status(&self) -> ReplicaStatus {
        let initialized = self.raft.is_initialized().await.unwrap_or(false);
        let metrics = self.raft.metrics().borrow().clone();
        let identity = self.disk.identity();
        let membership = metrics.membership_config.membership();
        ReplicaStatus {
            id: identity.id,
            group: identity.group.clone(),
            disk: identity.disk,
            initialized,
            leader: metrics.current_leader,
            term: metrics.current_term,
            last_log_index: metrics.last_log_index.unwrap_or(0),
            applied_index: metrics.last_applied.map_or(0, |log_id| log_id.index),
            revision: self.state_machine.read().revision(),
            acknowledged_indexes: metrics
                .replication
                .iter()
                .flatten()
                .filter_map(|(id, log_id)| Some((*id, log_id.as_ref()?.index)))
                .collect(),
            voters: membership.voter_ids().collect(),
            replicas: membership.nodes().map(|(id, peer)| (*id, peer.clone())).collect(),
        }
    }

    /// Checks that this replica leads, with a majority: a leader that was paused may have been replaced.
    /// `Err`: the answer to the read instead.
    pub(super) async fn ensure_linearizable(&self) -> Result<(), Response> {
        let is_checked =
            cfg!(not(feature = "faults")) || std::env::var_os("PEBBLEPOST_FAULT_STALE").is_none();
        if !is_checked && self.leading_term().is_some() {
            tracing::warn!("read without a check (fault build)");
            return Ok(());
        }
        self.raft.ensure_linearizable().await.map(drop).map_err(|error| match error.forward_to_leader() {
            Some(to) => Response::NotLeader(to.leader_id),
            None => Response::Failed(error.to_string()),
        })
    }
}
