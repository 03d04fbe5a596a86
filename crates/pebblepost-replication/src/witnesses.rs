//! The next step of a change of the witness set, as the group's configuration manager takes it.

use crate::record::{EpochRecord, contains};
use pebblepost_messages::Member;

/// The record that replaces one witness that is gone by a machine that lives, or that ends such
/// a change; `None` if nothing is to be done. `living` are the machines heard lately (the caller
/// decides how lately), `wanted` the number of witnesses.
pub fn next_witness_step(record: &EpochRecord, living: &[Member], wanted: usize) -> Option<EpochRecord> {
    let mut next = record.clone();
    next.epoch += 1;
    if !record.former_witnesses.is_empty() {
        next.former_witnesses.clear();
        return Some(next);
    }
    let candidate = living.iter().find(|member| !contains(&record.witnesses, member.disk));
    let gone = record.witnesses.iter().position(|member| !contains(living, member.disk));
    match (candidate, gone) {
        (Some(candidate), Some(gone)) => next.witnesses[gone] = candidate.clone(),
        (Some(candidate), None) if record.witnesses.len() < wanted => next.witnesses.push(candidate.clone()),
        (None, Some(gone)) if record.witnesses.len() > wanted => {
            next.witnesses.remove(gone);
        }
        _ => return None,
    }
    next.former_witnesses = record.witnesses.clone();
    Some(next)
}
