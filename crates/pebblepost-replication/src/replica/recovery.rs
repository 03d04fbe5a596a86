//! Recovery of a replica from the records on its disk.

use super::disk_record::DiskRecord;
use super::log::{Log, LogEntry};
use super::state_machine::StateMachine;
use super::term_history::TermHistory;
use crate::record::EpochRecord;

/// The recovered state, except for that of the state machine, which is restored in place.
#[derive(Debug, Default)]
pub(super) struct Recovered {
    pub(super) log: Log,
    pub(super) record: EpochRecord,
    /// Last index that the restored snapshot covers.
    pub(super) applied_index: u64,
    pub(super) term: TermHistory,
    /// Whether entries are missing. Those after the gap are discarded.
    pub(super) has_gap: bool,
}

/// Replays the records of the disk, in the order in which they were written.
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
                let entry = LogEntry { epoch, data: entry };
                recovered.has_gap |= !replay_entry(&mut recovered.log, index, entry);
            }
        }
    }
    recovered
}

/// Puts an entry at its index. Returns false if entries before it are missing.
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
