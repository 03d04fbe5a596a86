//! What must hold whatever happens.

use super::violation::Violation;
use pebblepost_replication::record::EpochRecord;
use std::collections::BTreeMap;

#[derive(Debug, Default)]
pub struct Checker {
    /// What was applied at each index, by whichever replica came first.
    applied: Vec<u64>,
    /// Highest index that was acknowledged to a client.
    acknowledged_to: u64,
    pub acknowledged: u64,
    chosen: BTreeMap<u64, EpochRecord>,
    pub violation: Option<Violation>,
}

impl Checker {
    /// Keeps the first violation.
    pub fn fail(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    pub fn fail_safety(&mut self, found: String) {
        self.fail(Violation::Safety(found));
    }

    /// A replica applied entries: they are the same at all replicas.
    pub fn applied(&mut self, who: &str, from: usize, values: &[u64]) {
        for (index, value) in values.iter().enumerate().skip(from) {
            match self.applied.get(index) {
                Some(known) if known != value => {
                    self.fail_safety(format!("{who} applied {value} at {}, others {known}", index + 1));
                }
                Some(_) => {}
                None => self.applied.push(*value),
            }
        }
    }

    /// A client got its acknowledgement.
    pub fn acknowledged(&mut self, who: &str, index: u64, value: u64) {
        let applied = self.applied.get(index as usize - 1);
        if applied != Some(&value) {
            self.fail_safety(format!("{who} acknowledged {value} at {index}, where {applied:?} is applied"));
        }
        self.acknowledged_to = self.acknowledged_to.max(index);
        self.acknowledged += 1;
    }

    /// A replica answers reads: it knows all that was acknowledged.
    pub fn acting(&mut self, who: &str, length: usize) {
        if (length as u64) < self.acknowledged_to {
            let to = self.acknowledged_to;
            self.fail_safety(format!("{who} acts with {length} entries, {to} were acknowledged"));
        }
    }

    /// A record became known as chosen: there is one for each epoch.
    pub fn chosen(&mut self, who: &str, record: &EpochRecord) {
        let known = self.chosen.entry(record.epoch).or_insert_with(|| record.clone());
        if known != record {
            let found = format!("{who} learned {record:?}, others {known:?}");
            self.fail_safety(found);
        }
    }
}
