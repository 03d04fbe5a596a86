//! The stored format of a replica. It depends on the order of variants and fields.

use super::log::LogEntry;
use crate::codec::Blob;
use crate::record::EpochRecord;
use nanoserde::{DeBin, SerBin};

/// A record to be stored. The caller appends records to the disk in order, and passes all of them in
/// that order to [`Replica::new`](super::Replica::new) after a restart.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum DiskRecord {
    /// An entry of the log. It replaces entries at this index and above.
    Entry {
        /// Index, from 1.
        index: u64,
        /// Epoch in which it was first appended.
        epoch: u64,
        /// Data of the entry, which the log shares.
        entry: Blob,
    },
    /// The state of the application up to an index. It replaces all records of entries before it.
    Snapshot {
        /// Index of the last entry in it.
        index: u64,
        /// Epoch of that entry.
        epoch: u64,
        /// The state.
        state: Vec<u8>,
    },
    /// An epoch record that this replica has entered. It accepts nothing from an older epoch.
    Epoch(EpochRecord),
    /// This replica has acted as primary of an epoch.
    Acted {
        /// The epoch.
        epoch: u64,
    },
}

impl DiskRecord {
    /// Creates the record of an entry of the log.
    pub(super) fn entry(index: u64, entry: &LogEntry) -> Self {
        Self::Entry { index, epoch: entry.epoch, entry: entry.data.clone() }
    }
}
