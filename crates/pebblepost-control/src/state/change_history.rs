//! The configuration changes accepted last, by which a retried change is recognized (idempotent retries).

use super::command::ConfigurationChange;
use nanoserde::{DeBin, SerBin};

/// Most changes kept, of [`BYTES_PER_CHANGE`] each, in memory and in snapshots: two days and a half with 13,000 changes
/// each.
pub const MAX_RECORDED_CHANGES: usize = 32 * 1024;
/// Oldest changes dropped together once there are more, so that dropping costs nothing on average.
const DROPPED_TOGETHER: usize = MAX_RECORDED_CHANGES / 8;
/// Bytes of a change, in memory and in the stored form.
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

/// What is known of a change that is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeLookup {
    /// Exactly this change was accepted.
    Accepted {
        /// Version that it produced.
        generation: u64,
    },
    /// This change was never accepted.
    NotAccepted,
    /// The change that was accepted on the same base is kept no more: it may have been this one.
    Evicted,
}

/// The newest accepted changes, oldest first: each is based on the version that the one before produced. Part of the
/// snapshot: fields are stored in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ChangeHistory {
    changes: Vec<AcceptedChange>,
}

impl ChangeHistory {
    /// Records that `change` produced the version `generation`. Drops the oldest changes beyond the capacity.
    pub fn record(&mut self, change: &ConfigurationChange, generation: u64) {
        self.changes.push(AcceptedChange { base: change.base, generation, digest: change.digest() });
        if self.changes.len() > MAX_RECORDED_CHANGES {
            self.changes.drain(..DROPPED_TOGETHER);
        }
    }

    /// Whether exactly this change was accepted before.
    pub fn lookup(&self, change: &ConfigurationChange) -> ChangeLookup {
        let Some(oldest) = self.changes.first() else { return ChangeLookup::NotAccepted };
        if change.base < oldest.base {
            return ChangeLookup::Evicted;
        }
        match self.accepted_on(change.base) {
            Some(accepted) if accepted.digest == change.digest() => {
                ChangeLookup::Accepted { generation: accepted.generation }
            }
            _ => ChangeLookup::NotAccepted,
        }
    }

    /// The change that was accepted on a version, if it is kept.
    fn accepted_on(&self, base: u64) -> Option<&AcceptedChange> {
        let position = self.changes.binary_search_by_key(&base, |accepted| accepted.base).ok()?;
        self.changes.get(position)
    }
}
