//! What can be wrong with a disk.

use std::path::PathBuf;
use thiserror::Error;

/// Why a replica's disk cannot be used.
#[derive(Debug, Error)]
pub enum DiskError {
    /// It cannot be read or written.
    #[error("{path}: {cause}")]
    Io {
        /// The file.
        path: PathBuf,
        /// The cause.
        cause: String,
    },
    /// Its content is not what was written.
    #[error(
        "{path}: damaged: {cause}. This keeper cannot go on with it: put the file aside, start with an empty folder, and \
         replace the keeper under a new number (docs/operate/store.md, replacing a disk)"
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        cause: String,
    },
    /// It is a copy from before what the replica has acknowledged.
    #[error(
        "{path}: an older copy: its log ends at {last_index}, but keeper {leader}, which leads in term {term}, had {acknowledged_index} acknowledged \
         by this keeper. It has forgotten what it acknowledged: replace the keeper under a new number \
         (docs/operate/store.md, replacing a disk)"
    )]
    Outdated {
        /// The file.
        path: PathBuf,
        /// Last index of its log.
        last_index: u64,
        /// Last index that this replica acknowledged to the leader.
        acknowledged_index: u64,
        /// The leader.
        leader: u64,
        /// Its term.
        term: u64,
    },
    /// It belongs to another replica.
    #[error("{path}: belongs to keeper {found}, not to {expected}")]
    WrongReplica {
        /// The file.
        path: PathBuf,
        /// The replica that it belongs to.
        found: String,
        /// The replica that it should belong to.
        expected: String,
    },
}

/// Why a read or write of an open disk failed.
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
    /// The thread of the write has panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// The log has a gap.
    #[error("no entry before {index} of the log")]
    Gap {
        /// Index of the entry after the gap.
        index: u64,
    },
    /// A fault was injected (only in builds with faults).
    #[cfg(feature = "faults")]
    #[error("{0}")]
    Injected(String),
}

impl From<redb::TransactionError> for AccessError {
    fn from(error: redb::TransactionError) -> Self {
        Self::Transaction(Box::new(error))
    }
}
