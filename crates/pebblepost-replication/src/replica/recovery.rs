//! What a replica's disk held, read back.

use super::log::{Log, LogEntry};
use super::{DiskRecord, StateMachine};
use crate::codec::Blob;
use crate::record::EpochRecord;

/// Log and epoch as recovered; the state is restored on the way.
#[derive(Debug, Default)]
pub(super) struct Recovered {
    pub(super) log: Log,
    pub(super) record: EpochRecord,
    /// Index that the restored snapshot covers.
    pub(super) applied: u64,
    /// First epoch of the unbroken term of the recorded primary, as far as the disk tells.
    pub(super) term_from: u64,
    /// Newest epoch in which this replica acted as primary.
    pub(super) acted_in: u64,
    /// Entries are missing: those after them were left out.
    pub(super) has_gap: bool,
}

/// Folds the records of the disk, in the order written.
pub(super) fn recover<S: StateMachine>(records: Vec<DiskRecord>, state: &mut S) -> Recovered {
    let mut recovered = Recovered::default();
    for record in records {
        match record {
            DiskRecord::Epoch(record) if record.epoch >= recovered.record.epoch => {
                recovered.term_from = term_after(recovered.term_from, &recovered.record, &record);
                recovered.record = record;
            }
            DiskRecord::Epoch(_) => {}
            DiskRecord::Acted { epoch } => recovered.acted_in = recovered.acted_in.max(epoch),
            DiskRecord::Snapshot { index, epoch, state: snapshot } => {
                state.restore(&snapshot);
                recovered.applied = index;
                recovered.log.reset(index, epoch);
            }
            DiskRecord::Entry { index, epoch, entry } => {
                let entry = LogEntry { epoch, data: Blob(entry) };
                recovered.has_gap |= !take_entry(&mut recovered.log, index, entry);
            }
        }
    }
    recovered
}

/// First epoch of the unbroken term of `next`'s primary, where `former` was the epoch before in a term from
/// `term_from` on.
pub(super) fn term_after(term_from: u64, former: &EpochRecord, next: &EpochRecord) -> u64 {
    let is_same_epoch = next.epoch == former.epoch;
    let is_continued = next.epoch == former.epoch + 1 && next.primary == former.primary && former.epoch > 0;
    if is_same_epoch || is_continued { term_from } else { next.epoch }
}

/// Puts an entry at its place; false where entries before it are missing.
fn take_entry(log: &mut Log, index: u64, entry: LogEntry) -> bool {
    if index <= log.base_index() {
        return true;
    }
    log.truncate_from(index);
    if index != log.last_index() + 1 {
        return false;
    }
    log.push(entry);
    true
}
