//! The interface to the replicated application.

/// The replicated application. Its state must be a deterministic function of the applied entries.
pub trait StateMachine {
    /// Applies a committed entry. Indexes start at 1 and are contiguous.
    fn apply(&mut self, index: u64, entry: &[u8]);

    /// Returns the whole state in the form that [`StateMachine::restore`] reads.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state with a snapshot.
    fn restore(&mut self, snapshot: &[u8]);

    /// Returns whether an entry or a snapshot could not be decoded. The state may then be incomplete,
    /// and the replica neither campaigns nor acts as primary.
    fn is_damaged(&self) -> bool {
        false
    }
}
