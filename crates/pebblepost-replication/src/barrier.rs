//! The entry without effect that a new primary commits first, as in Raft (section 8 of its paper).
//!
//! The log of another replica may hold entries of the former primary that this one lacks. Nobody has committed them, but
//! that replica may lead later and commit them then. Once an entry of this term stands at their place in the log of
//! every in-sync replica, they are gone. Only from then on is "this was not taken" an answer that stays true.

/// Where the barrier of a term stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TermBarrier {
    index: Option<u64>,
}

impl TermBarrier {
    /// Whether the barrier is in the log of this replica.
    pub fn is_proposed(&self) -> bool {
        self.index.is_some()
    }

    /// The barrier was appended at this index.
    pub fn set_index(&mut self, index: u64) {
        self.index = Some(index);
    }

    /// Whether entries up to `commit_index` are committed and the barrier is among them.
    pub fn is_committed(&self, commit_index: u64) -> bool {
        self.index.is_some_and(|index| index <= commit_index)
    }
}
