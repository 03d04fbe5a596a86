//! Requests of storage nodes to change the epoch of a store group, until their entries are committed.

use crate::feed::ConnectionId;
use std::collections::BTreeMap;

/// A request to change the epoch of a store group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GroupChangeRequest {
    /// Link of the storage node.
    pub(super) connection: ConnectionId,
    /// Number of the request, unique on that link.
    pub(super) request: u64,
    /// The store group.
    pub(super) group: u32,
}

/// Pending requests by the index of their log entry.
#[derive(Debug, Default)]
pub(super) struct GroupChangeRequests {
    by_index: BTreeMap<u64, GroupChangeRequest>,
}

impl GroupChangeRequests {
    pub(super) fn insert(&mut self, index: u64, request: GroupChangeRequest) {
        self.by_index.insert(index, request);
    }

    /// Removes and returns the requests whose entries are committed, by the index of their entry.
    pub(super) fn take_committed(&mut self, committed: u64) -> BTreeMap<u64, GroupChangeRequest> {
        let later = self.by_index.split_off(&(committed + 1));
        std::mem::replace(&mut self.by_index, later)
    }
}
