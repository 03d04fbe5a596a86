//! Terms, which are unbroken runs of epochs with the same primary, and whether that primary acted.

use crate::record::EpochRecord;

/// State of a replica about the current term, and about its own earlier terms as primary.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TermHistory {
    /// First epoch of the term of the recorded primary, as far as this replica knows.
    pub(super) first_epoch: u64,
    /// Newest epoch in which this replica acted as primary; 0 if none is known.
    pub(super) acted_in: u64,
}

impl TermHistory {
    /// Records the change from the record `former` to `next`. A new term starts unless the same primary
    /// continues in the directly following epoch.
    pub(super) fn enter(&mut self, former: &EpochRecord, next: &EpochRecord) {
        let is_same_epoch = next.epoch == former.epoch;
        let is_continued =
            next.epoch == former.epoch + 1 && next.primary == former.primary && former.epoch > 0;
        if !is_same_epoch && !is_continued {
            self.first_epoch = next.epoch;
        }
    }

    /// Records that this replica acted as primary of an epoch.
    pub(super) fn on_acted(&mut self, epoch: u64) {
        self.acted_in = epoch;
    }

    /// Returns whether the primary is known to have acted in its term: the log, whose newest entry is of
    /// `last_epoch`, holds an entry of the term, or this replica itself acted in it.
    pub(super) fn has_primary_acted(&self, last_epoch: u64) -> bool {
        last_epoch.max(self.acted_in) >= self.first_epoch
    }
}
