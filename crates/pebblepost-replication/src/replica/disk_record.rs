//! The stored form of a replica. The order of variants and fields is what disks hold.

use super::log::LogEntry;
use crate::codec::Blob;
use crate::record::EpochRecord;
use nanoserde::{DeBin, SerBin};

/// A record for the disk. The caller appends them in order; a new replica is given all of them,
/// in that order.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum DiskRecord {
    /// An entry. It replaces entries at this index and above.
    Entry {
        /// Index, from 1.
        index: u64,
        /// Epoch in which it was first appended.
        epoch: u64,
        /// The entry.
        entry: Vec<u8>,
    },
    /// The state up to an index; replaces all entries before.
    Snapshot {
        /// Index of the last entry in it.
        index: u64,
        /// Epoch of that entry.
        epoch: u64,
        /// The state.
        state: Vec<u8>,
    },
    /// Newest epoch record that this replica acts by; it accepts nothing from an older epoch.
    Epoch(EpochRecord),
    /// This replica has acted as primary of an epoch.
    Acted {
        /// The epoch.
        epoch: u64,
    },
}

impl DiskRecord {
    /// The record of an entry of the log.
    pub(super) fn entry(index: u64, entry: &LogEntry) -> Self {
        let Blob(data) = &entry.data;
        Self::Entry { index, epoch: entry.epoch, entry: data.clone() }
    }
}
