//! A replica's disk, which holds the log, the vote and the last snapshot in one `redb` file.
//!
//! Each write is committed in two phases and synced before it is acknowledged. So after a crash the newest
//! commit is either complete or was never acknowledged. The whole file is checked at each start. A damaged
//! file is rejected with an error that names it, because a replica that silently returned to an older commit
//! would have lost entries that it had acknowledged.

mod disk;
mod error;
mod faults;
mod group_state;
mod log_store;
mod snapshot;

pub use disk::{Disk, DiskIdentity, FILE_NAME};
pub use error::{AccessError, DiskError};
pub use group_state::PersistedGroupState;
pub(crate) use snapshot::{SnapshotMeta, StoredSnapshot};

use openraft::AnyError;

/// Converts an error to openraft's error type and adds the file's path.
pub(crate) fn raft_cause(disk: &Disk, error: &dyn std::fmt::Display) -> AnyError {
    AnyError::error(format!("{}: {error}", disk.path().display()))
}
