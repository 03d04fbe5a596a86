//! The border to the replicated application.

/// The replicated application: deterministic, changed by entries only.
pub trait StateMachine {
    /// Applies a committed entry. Indexes start at 1 and have no gaps.
    fn apply(&mut self, index: u64, entry: &[u8]);

    /// The whole state, as [`StateMachine::restore`] reads it.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by a snapshot.
    fn restore(&mut self, snapshot: &[u8]);

    /// Whether an entry or a snapshot could not be decoded: the state may be incomplete, and the
    /// replica neither stands for election nor acts as primary.
    fn is_damaged(&self) -> bool {
        false
    }
}
