//! Reads back what a replica's disk held.

use super::disk_record::DiskRecord;
use super::log::{Log, LogEntry};
use super::state_machine::StateMachine;
use super::term_history::TermHistory;
use crate::codec::Blob;
use crate::record::EpochRecord;

/// Log and epoch as recovered; the state machine is restored on the way.
#[derive(Debug, Default)]
pub(super) struct Recovered {
    pub(super) log: Log,
    pub(super) record: EpochRecord,
    /// Index that the restored snapshot covers.
    pub(super) applied_index: u64,
    pub(super) term: TermHistory,
    /// Entries are missing: those after them were left out.
    pub(super) has_gap: bool,
}

/// Replays the records of the disk, in the order written.
pub(super) fn recover<S: StateMachine>(records: Vec<DiskRecord>, state_machine: &mut S) -> Recovered {
    let mut recovered = Recovered::default();
    for record in records {
        match record {
            DiskRecord::Epoch(record) if record.epoch >= recovered.record.epoch => {
                recovered.term.enter(&recovered.record, &record);
                recovered.record = record;
            }
            DiskRecord::Epoch(_) => {}
            DiskRecord::Acted { epoch } => recovered.term.on_acted(epoch.max(recovered.term.acted_in)),
            DiskRecord::Snapshot { index, epoch, state } => {
                state_machine.restore(&state);
                recovered.applied_index = index;
                recovered.log.reset(index, epoch);
            }
            DiskRecord::Entry { index, epoch, entry } => {
                let entry = LogEntry { epoch, data: Blob(entry) };
                recovered.has_gap |= !replay_entry(&mut recovered.log, index, entry);
            }
        }
    }
    recovered
}

/// Puts an entry at its index; false where entries before it are missing.
fn replay_entry(log: &mut Log, index: u64, entry: LogEntry) -> bool {
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
