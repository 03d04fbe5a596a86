//! Checks of the safety rules that must hold in every schedule.

use super::violation::Violation;
use pebblepost_replication::record::EpochRecord;
use std::collections::BTreeMap;

#[derive(Debug, Default)]
pub struct Checker {
    /// The value that was first applied at each index, by any replica.
    applied: Vec<u64>,
    /// Highest index that was acknowledged to a client.
    highest_acknowledged_index: u64,
    pub acknowledged: u64,
    chosen: BTreeMap<u64, EpochRecord>,
    pub violation: Option<Violation>,
}

impl Checker {
    /// Keeps the first violation.
    pub fn fail(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    pub fn fail_safety(&mut self, description: String) {
        self.fail(Violation::Safety(description));
    }

    /// Checks entries that a replica applied: all replicas must apply the same ones.
    pub fn applied(&mut self, node: &str, from: usize, values: &[u64]) {
        for (index, value) in values.iter().enumerate().skip(from) {
            match self.applied.get(index) {
                Some(known) if known != value => {
                    self.fail_safety(format!("{node} applied {value} at {}, others {known}", index + 1));
                }
                Some(_) => {}
                None => self.applied.push(*value),
            }
        }
    }

    /// Checks an acknowledgement to a client: the entry must be the one that is applied at its index.
    pub fn acknowledged(&mut self, node: &str, index: u64, value: u64) {
        let applied = self.applied.get(index as usize - 1);
        if applied != Some(&value) {
            self.fail_safety(format!("{node} acknowledged {value} at {index}, where {applied:?} is applied"));
        }
        self.highest_acknowledged_index = self.highest_acknowledged_index.max(index);
        self.acknowledged += 1;
    }

    /// Checks an acting replica, which answers reads: it must hold all acknowledged entries.
    pub fn acting(&mut self, node: &str, length: usize) {
        if (length as u64) < self.highest_acknowledged_index {
            let to = self.highest_acknowledged_index;
            self.fail_safety(format!("{node} acts with {length} entries, {to} were acknowledged"));
        }
    }

    /// Checks a chosen record: only one may be chosen for each epoch.
    pub fn chosen(&mut self, node: &str, record: &EpochRecord) {
        let known = self.chosen.entry(record.epoch).or_insert_with(|| record.clone());
        if known != record {
            let description = format!("{node} learned {record:?}, others {known:?}");
            self.fail_safety(description);
        }
    }
}
