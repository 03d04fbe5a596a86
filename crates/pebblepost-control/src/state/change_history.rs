//! The configuration changes accepted last, by which a retried change is recognized (idempotent retries).

use super::command::ConfigurationChange;
use nanoserde::{DeBin, SerBin};

/// Capacity: several days with hundreds of changes each.
const MAX_CHANGES: usize = 1024;

/// A configuration change that was accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct AcceptedChange {
    /// Version that the change was based on.
    pub base: u64,
    /// Version that the change produced.
    pub generation: u64,
    /// [`ConfigurationChange::digest`] of the change.
    pub digest: u64,
}

/// The newest accepted changes, oldest first. Part of the snapshot: fields are stored in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ChangeHistory {
    changes: Vec<AcceptedChange>,
}

impl ChangeHistory {
    /// Records that `change` produced the version `generation`. Drops the oldest change beyond the capacity.
    pub fn record(&mut self, change: &ConfigurationChange, generation: u64) {
        self.changes.push(AcceptedChange { base: change.base, generation, digest: change.digest() });
        if self.changes.len() > MAX_CHANGES {
            self.changes.remove(0);
        }
    }

    /// The version that exactly this change produced, if it was accepted before.
    pub fn accepted_generation(&self, change: &ConfigurationChange) -> Option<u64> {
        let digest = change.digest();
        let same = |accepted: &&AcceptedChange| accepted.base == change.base && accepted.digest == digest;
        self.changes.iter().rev().find(same).map(|accepted| accepted.generation)
    }
}
