//! Recovery of the records that earlier runs of this program wrote to disk.

use super::outbox::GroupRecord;
use nanoserde::{DeBin, DeBinErr};
use pebblepost_replication::replica::DiskRecord;
use std::collections::BTreeMap;

/// Error returned when a record on disk cannot be decoded.
///
/// The store must not start without the record: it could become primary of a store group without entries
/// that it has acknowledged.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{0}")]
pub struct RecoveryError(#[from] DeBinErr);

/// Decodes records and returns those of each store group in the order written, without voided ones.
pub(crate) fn read_records(records: &[Vec<u8>]) -> Result<BTreeMap<u32, Vec<DiskRecord>>, RecoveryError> {
    let mut groups: BTreeMap<u32, Vec<DiskRecord>> = BTreeMap::new();
    for bytes in records {
        let GroupRecord { group, record } = GroupRecord::deserialize_bin(bytes)?;
        match record {
            Some(record) => groups.entry(group).or_default().push(record),
            None => drop(groups.remove(&group)),
        }
    }
    Ok(groups)
}
