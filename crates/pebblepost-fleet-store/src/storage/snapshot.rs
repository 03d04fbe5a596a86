//! Reads and writes the last snapshot on disk.

use super::{AccessError, Disk};
use crate::raft_types::Peer;
use serde::{Deserialize, Serialize};

/// The name of the value with the last snapshot.
const SNAPSHOT: &str = "snapshot";

/// The last log entry, the membership and the id of a snapshot.
pub(crate) type SnapshotMeta = openraft::SnapshotMeta<u64, Peer>;

/// A snapshot as it is stored on disk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StoredSnapshot {
    pub(crate) meta: SnapshotMeta,
    /// The state as JSON. The same text is sent to other replicas.
    pub(crate) data: String,
}

impl Disk {
    /// Reads the last snapshot. Returns `None` if there is none yet.
    pub(crate) fn snapshot(&self) -> Result<Option<StoredSnapshot>, AccessError> {
        self.get(SNAPSHOT)
    }

    /// Replaces the last snapshot and syncs the disk.
    pub(crate) async fn save_snapshot(&self, snapshot: StoredSnapshot) -> Result<(), AccessError> {
        self.put(SNAPSHOT, snapshot).await
    }
}
