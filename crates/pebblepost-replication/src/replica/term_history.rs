//! Terms: unbroken runs of epochs with the same primary, and who acted in them.

use crate::record::EpochRecord;

/// What a replica knows of the current term, and of its own past as primary.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TermHistory {
    /// First epoch of the unbroken term of the recorded primary, as far as this replica knows.
    pub(super) first_epoch: u64,
    /// Newest epoch in which this replica itself acted as primary; 0 if none is known.
    pub(super) acted_in: u64,
}

impl TermHistory {
    /// The record `next` follows `former`.
    pub(super) fn enter(&mut self, former: &EpochRecord, next: &EpochRecord) {
        let is_same_epoch = next.epoch == former.epoch;
        let is_continued =
            next.epoch == former.epoch + 1 && next.primary == former.primary && former.epoch > 0;
        if !is_same_epoch && !is_continued {
            self.first_epoch = next.epoch;
        }
    }

    /// This replica has acted as primary of an epoch.
    pub(super) fn on_acted(&mut self, epoch: u64) {
        self.acted_in = epoch;
    }

    /// Whether the primary is known to have acted in its term: by an entry of the term in the log,
    /// whose newest one is of `last_epoch`, or by what this replica remembers of itself.
    pub(super) fn has_primary_acted(&self, last_epoch: u64) -> bool {
        last_epoch.max(self.acted_in) >= self.first_epoch
    }
}
