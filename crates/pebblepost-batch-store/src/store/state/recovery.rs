//! Reading the disk records of earlier incarnations of this program.

use super::outbox::GroupRecord;
use nanoserde::{DeBin, DeBinErr};
use pebblepost_replication::replica::DiskRecord;
use std::collections::BTreeMap;

/// A disk record that is not in this program's format. Without it the store might lead a group with less
/// than it has acknowledged.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{0}")]
pub struct RecoveryError(#[from] DeBinErr);

/// The records of each group, in the order written, without those that were voided.
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
