//! The state of the group as recorded on the disk, which is read before the replica joins the group.

use super::disk::{PURGED, VOTE};
use super::{AccessError, Disk};
use crate::raft_types::{LogId, Peer};
use openraft::{EntryPayload, Vote};
use std::collections::BTreeMap;

/// The state of the group as recorded on a replica's disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedGroupState {
    /// The last index of the log, including entries that are purged or only in the snapshot.
    pub last_index: u64,
    /// The term of the stored vote; 0 if there is none.
    pub term: u64,
    /// The replicas in the newest recorded membership, by number.
    pub replicas: BTreeMap<u64, Peer>,
}

impl Disk {
    /// Reads the state of the group that is recorded on the disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk cannot be read.
    pub fn group_state(&self) -> Result<PersistedGroupState, AccessError> {
        let snapshot = self.snapshot()?;
        let purged: Option<LogId> = self.get(PURGED)?;
        let vote: Option<Vote<u64>> = self.get(VOTE)?;
        let in_snapshot = snapshot.as_ref().and_then(|snapshot| snapshot.meta.last_log_id);
        let last = [self.last_entry()?, purged, in_snapshot].into_iter().flatten().map(|id| id.index).max();
        let in_log = self.entries(..)?.into_iter().rev().find_map(|entry| match entry.payload {
            EntryPayload::Membership(membership) => Some(membership),
            _ => None,
        });
        let membership =
            in_log.or(snapshot.map(|snapshot| snapshot.meta.last_membership.membership().clone()));
        let nodes = membership.iter().flat_map(|membership| membership.nodes());
        let replicas = nodes.map(|(id, peer)| (*id, peer.clone())).collect();
        let term = vote.map_or(0, |vote| vote.leader_id.term);
        Ok(PersistedGroupState { last_index: last.unwrap_or(0), term, replicas })
    }
}
