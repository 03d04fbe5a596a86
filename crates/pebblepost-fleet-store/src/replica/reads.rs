//! Reads of the state and of the replica's status.

use super::Replica;
use crate::protocol::{ReplicaStatus, Response};
use pebblepost_fleet::Key;

/// Maximum number of changes in the response to [`Request::History`](crate::protocol::Request::History).
const MAX_HISTORY_CHANGES: usize = 1_000;

impl Replica {
    /// Reads the values of these keys, or of all keys if there are none, linearizably.
    pub(super) async fn read_entries(&self, keys: &[Key]) -> Response {
        if let Err(response) = self.ensure_linearizable().await {
            return response;
        }
        let state = self.state_machine.read();
        let entries = match keys {
            [] => state.snapshot().entries,
            keys => keys.iter().filter_map(|key| Some((key.clone(), state.get(key)?.clone()))).collect(),
        };
        Response::Entries { revision: state.revision(), entries }
    }

    /// Reads the last changes that this replica has applied.
    pub(super) fn read_history(&self, max: usize) -> Response {
        let state = self.state_machine.read();
        let mut changes: Vec<_> = state.history().rev().take(max.min(MAX_HISTORY_CHANGES)).cloned().collect();
        changes.reverse();
        Response::History(changes)
    }

    pub(super) async fn read_status(&self) -> ReplicaStatus {
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

    /// Confirms with a majority that this replica is still the leader, because a leader that was paused may
    /// have been replaced. With the feature `faults`, `PEBBLEPOST_FAULT_STALE` skips this check.
    ///
    /// # Errors
    ///
    /// Returns the response to send instead of the read's result.
    pub(super) async fn ensure_linearizable(&self) -> Result<(), Response> {
        let is_checked =
            cfg!(not(feature = "faults")) || std::env::var_os("PEBBLEPOST_FAULT_STALE").is_none();
        if !is_checked && self.leader_term().is_some() {
            tracing::warn!("leadership check of a read skipped because PEBBLEPOST_FAULT_STALE is set");
            return Ok(());
        }
        self.raft.ensure_linearizable().await.map(drop).map_err(|error| match error.forward_to_leader() {
            Some(to) => Response::NotLeader(to.leader_id),
            None => Response::Failed(error.to_string()),
        })
    }
}
