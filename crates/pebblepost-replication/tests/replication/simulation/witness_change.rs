//! The next step of a change of the witness set, as a group's configuration manager takes it.

use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;

/// The record that replaces one witness that is gone by a machine that is up, or that ends such a
/// change; `None` if nothing is to be done. `reachable` are the machines heard from lately, `count`
/// is the number of witnesses that there should be.
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
