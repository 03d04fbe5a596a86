//! The next step of a change of the witness set, as the control program of a group requests it.

use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;

/// Returns the record that replaces an unreachable witness with a reachable machine, or that finishes
/// such a change; `None` if no change is needed. `reachable` are the machines from which messages
/// arrived recently, and `count` is the desired number of witnesses.
pub fn next_witness_change(record: &EpochRecord, reachable: &[Member], count: usize) -> Option<EpochRecord> {
    let mut next = record.clone();
    next.epoch += 1;
    if !record.former_witnesses.is_empty() {
        next.former_witnesses.clear();
        return Some(next);
    }
    let candidate = reachable.iter().find(|member| !contains(&record.witnesses, member.disk));
    let gone = record.witnesses.iter().position(|member| !contains(reachable, member.disk));
    match (candidate, gone) {
        (Some(candidate), Some(gone)) => next.witnesses[gone] = candidate.clone(),
        (Some(candidate), None) if record.witnesses.len() < count => next.witnesses.push(candidate.clone()),
        (None, Some(gone)) if record.witnesses.len() > count => {
            next.witnesses.remove(gone);
        }
        _ => return None,
    }
    next.former_witnesses.clone_from(&record.witnesses);
    Some(next)
}

fn contains(members: &[Member], disk: DiskId) -> bool {
    members.iter().any(|member| member.disk == disk)
}
