//! Requests of storage nodes to change a group's epoch that wait for their commit.

use crate::feed::ConnectionId;
use std::collections::BTreeMap;

/// A request to change a group's epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GroupChangeRequest {
    /// Link of the storage node.
    pub(super) connection: ConnectionId,
    /// Number of the request on that link.
    pub(super) request: u64,
    /// The group.
    pub(super) group: u32,
}

/// Requests by the index of their entry.
#[derive(Debug, Default)]
pub(super) struct GroupChangeRequests {
    by_index: BTreeMap<u64, GroupChangeRequest>,
}

impl GroupChangeRequests {
    pub(super) fn insert(&mut self, index: u64, request: GroupChangeRequest) {
        self.by_index.insert(index, request);
    }

    /// Takes the requests whose entries are committed, with the index of their entry.
    pub(super) fn take_committed(&mut self, committed: u64) -> BTreeMap<u64, GroupChangeRequest> {
        let later = self.by_index.split_off(&(committed + 1));
        std::mem::replace(&mut self.by_index, later)
    }
}
