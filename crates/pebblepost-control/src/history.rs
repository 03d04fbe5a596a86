//! Changes of the configuration that were taken, to recognize repeats.

use crate::command::ConfigurationChange;
use nanoserde::{DeBin, SerBin};

/// Changes remembered: those of some days with hundreds of changes each.
const MOST_CHANGES: usize = 1024;

/// A change that was taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct TakenChange {
    /// Version that it built on.
    pub base: u64,
    /// Version that it made.
    pub generation: u64,
    /// Digest of its method, base and body.
    pub digest: u64,
}

/// The newest changes that were taken, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct History {
    changes: Vec<TakenChange>,
}

impl History {
    /// Notes a change that was taken.
    pub fn note(&mut self, change: &ConfigurationChange, generation: u64) {
        self.changes.push(TakenChange { base: change.base, generation, digest: change.digest() });
        if self.changes.len() > MOST_CHANGES {
            self.changes.remove(0);
        }
    }

    /// The version that this very change made, if it was taken.
    pub fn taken(&self, change: &ConfigurationChange) -> Option<u64> {
        let digest = change.digest();
        let same = |taken: &&TakenChange| taken.base == change.base && taken.digest == digest;
        self.changes.iter().rev().find(same).map(|taken| taken.generation)
    }
}
