//! Errors of a replica's disk.

use std::path::PathBuf;
use thiserror::Error;

/// The reason why a replica's disk cannot be used.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The file cannot be read or written.
    #[error("{path}: {cause}")]
    Io {
        /// The file.
        path: PathBuf,
        /// The cause.
        cause: String,
    },
    /// The file's content is damaged.
    #[error(
        "{path}: damaged: {cause}. This keeper cannot use the file: move it away, start with an empty \
         folder, and replace the keeper under a new number (docs/operate/store.md, replacing a disk)"
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Description of the damage.
        cause: String,
    },
    /// The file is an older copy, which lacks entries that the replica has acknowledged.
    #[error(
        "{path}: an older copy: its log ends at {last_index}, but this keeper has acknowledged index \
         {acknowledged_index} to keeper {leader}, the leader of term {term}. It has lost entries that it \
         acknowledged: replace the keeper under a new number (docs/operate/store.md, replacing a disk)"
    )]
    Outdated {
        /// The file.
        path: PathBuf,
        /// The last index of its log.
        last_index: u64,
        /// The last index that this replica has acknowledged to the leader.
        acknowledged_index: u64,
        /// The leader's number.
        leader: u64,
        /// The leader's term.
        term: u64,
    },
    /// The file belongs to another replica.
    #[error("{path}: belongs to keeper {found}, not to {expected}")]
    WrongReplica {
        /// The file.
        path: PathBuf,
        /// The replica that the file belongs to.
        found: String,
        /// The replica that was to be started.
        expected: String,
    },
}

/// The reason why a read or write of an open disk failed.
#[derive(Debug, Error)]
pub enum AccessError {
    /// A transaction could not begin.
    #[error(transparent)]
    Transaction(Box<redb::TransactionError>),
    /// A table could not be opened.
    #[error(transparent)]
    Table(#[from] redb::TableError),
    /// A table could not be read or written.
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    /// A transaction could not be committed.
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
    /// A value is not valid JSON of its type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The task that wrote to the disk panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// An entry is missing between two entries of the log.
    #[error("gap in the log before index {index}")]
    Gap {
        /// The index of the entry after the gap.
        index: u64,
    },
    /// A fault was injected. Exists only with the feature `faults`.
    #[cfg(feature = "faults")]
    #[error("{0}")]
    Injected(String),
}

impl From<redb::TransactionError> for AccessError {
    fn from(error: redb::TransactionError) -> Self {
        Self::Transaction(Box::new(error))
    }
}
