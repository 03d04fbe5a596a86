//! How far behind the newest named version of a model its batch jobs allow transcribers to be.

use std::collections::VecDeque;

/// Observations that count.
const REMEMBERED: usize = 4;
/// Versions that a transcriber passes over in a row at most.
const MOST_SLACK: u64 = 2;

/// What the last batch jobs of a model allowed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedSlack {
    last: VecDeque<u64>,
}

impl ObservedSlack {
    /// A job was taken that allows versions so far behind the newest.
    pub(crate) fn observe(&mut self, slack: u64) {
        if self.last.len() == REMEMBERED {
            self.last.pop_front();
        }
        self.last.push_back(slack);
    }

    /// Versions behind the newest that every one of the last jobs allowed.
    pub(crate) fn versions(&self) -> u64 {
        self.last.iter().copied().min().unwrap_or(0).min(MOST_SLACK)
    }
}
