//! A replica's disk: the log, the vote and the last snapshot, in one `redb` file.
//!
//! All writes are synced before they are acknowledged, in two phases, so that after a crash the newest commit
//! is either complete or was never acknowledged. At each start the whole file is checked; a damaged one is
//! refused by name, as a replica that silently goes back to an older commit would have forgotten what it
//! acknowledged.

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

/// An error as openraft carries it, with the file's name.
pub(crate) fn raft_cause(disk: &Disk, error: &dyn std::fmt::Display) -> AnyError {
    AnyError::error(format!("{}: {error}", disk.path().display()))
}
