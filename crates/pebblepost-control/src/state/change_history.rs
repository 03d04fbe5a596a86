//! History of accepted configuration changes, by which the retry of a change is recognized, so that retries are
//! idempotent.

use super::command::ConfigurationChange;
use nanoserde::{DeBin, SerBin};

/// Limit on the recorded changes, of [`BYTES_PER_CHANGE`] each, in memory and in snapshots. It covers two and a half
/// days at 13,000 changes a day.
pub const MAX_RECORDED_CHANGES: usize = 32 * 1024;
/// Number of the oldest changes evicted at once when the limit is exceeded, so that the amortized cost of eviction is
/// negligible.
const EVICTION_BATCH_CHANGES: usize = MAX_RECORDED_CHANGES / 8;
/// Size of a recorded change in bytes, in memory and in the stored form.
pub const BYTES_PER_CHANGE: usize = size_of::<AcceptedChange>();

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

/// Result of looking up a submitted change in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeLookup {
    /// Exactly this change was accepted before.
    Accepted {
        /// Version that the change produced.
        generation: u64,
    },
    /// This change was never accepted.
    NotAccepted,
    /// The change that was accepted on the same base is evicted. Whether it was this change is unknown.
    Evicted,
}

/// The newest accepted changes, oldest first. Each is based on the version that the previous one produced.
///
/// Part of the snapshot: fields are stored in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ChangeHistory {
    changes: Vec<AcceptedChange>,
}

impl ChangeHistory {
    /// Records that `change` produced the version `generation`. Evicts the oldest changes when the limit is exceeded.
    pub fn record(&mut self, change: &ConfigurationChange, generation: u64) {
        self.changes.push(AcceptedChange { base: change.base, generation, digest: change.digest() });
        if self.changes.len() > MAX_RECORDED_CHANGES {
            self.changes.drain(..EVICTION_BATCH_CHANGES);
        }
    }

    /// Looks up whether exactly this change was accepted before.
    pub fn lookup(&self, change: &ConfigurationChange) -> ChangeLookup {
        let Some(oldest) = self.changes.first() else { return ChangeLookup::NotAccepted };
        if change.base < oldest.base {
            return ChangeLookup::Evicted;
        }
        match self.find_by_base(change.base) {
            Some(accepted) if accepted.digest == change.digest() => {
                ChangeLookup::Accepted { generation: accepted.generation }
            }
            _ => ChangeLookup::NotAccepted,
        }
    }

    /// Returns the change that was accepted on the version `base`, if it is recorded.
    fn find_by_base(&self, base: u64) -> Option<&AcceptedChange> {
        let position = self.changes.binary_search_by_key(&base, |accepted| accepted.base).ok()?;
        self.changes.get(position)
    }
}
