//! The no-op entry that a new primary commits first, as in section 8 of the Raft paper.
//!
//! The log of another replica may hold uncommitted entries of the former primary that this replica lacks. If
//! that replica becomes primary later, it commits them. Once an entry of the current term has replaced them in
//! the log of every in-sync replica, they can no longer be committed. Before that, a primary must not answer
//! that a request was not applied, because the request may still be committed.

/// Tracks the index of a term's no-op entry, the barrier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TermBarrier {
    index: Option<u64>,
}

impl TermBarrier {
    /// Returns whether the barrier is in the log of this replica.
    pub fn is_proposed(&self) -> bool {
        self.index.is_some()
    }

    /// Records the index at which the barrier was appended.
    pub fn set_index(&mut self, index: u64) {
        self.index = Some(index);
    }

    /// Returns whether the barrier is among the entries up to `commit_index`.
    pub fn is_committed(&self, commit_index: u64) -> bool {
        self.index.is_some_and(|index| index <= commit_index)
    }
}
