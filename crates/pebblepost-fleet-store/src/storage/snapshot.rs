//! The last snapshot on disk.

use super::{AccessError, Disk};
use crate::raft_types::Peer;
use serde::{Deserialize, Serialize};

const SNAPSHOT: &str = "snapshot";

/// The position, membership and id of a snapshot.
pub(crate) type SnapshotMeta = openraft::SnapshotMeta<u64, Peer>;

/// A snapshot as it is stored on disk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StoredSnapshot {
    pub(crate) meta: SnapshotMeta,
    /// The state as JSON, which is also what other replicas are sent.
    pub(crate) data: String,
}

impl Disk {
    /// The last snapshot; `None`: none was taken.
    pub(crate) fn snapshot(&self) -> Result<Option<StoredSnapshot>, AccessError> {
        self.get(SNAPSHOT)
    }

    /// Replaces the last snapshot.
    pub(crate) async fn save_snapshot(&self, snapshot: StoredSnapshot) -> Result<(), AccessError> {
        self.put(SNAPSHOT, snapshot).await
    }
}
