//! Results of items, and the text of an item that is not finished.

use nanoserde::{DeBin, SerBin};

/// How an item ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub enum ResultState {
    /// The text is complete.
    #[default]
    Completed,
    /// Dead-lettered: given up after too many attempts or too long a time.
    DeadLetter,
}

/// Result of an item.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ItemResult {
    /// Id of the item.
    pub id: String,
    /// How it ended.
    pub state: ResultState,
    /// Data of all events in order, separated by line feeds.
    pub message: Vec<u8>,
    /// Every version of the weights that generated an event of the text, in the order of their first events.
    pub versions: Vec<u64>,
    /// `Response-Seal` of the scorer's response; empty if the item has no scorer.
    pub score: String,
}

/// Text of an item so far, to be resumed after its last event.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct PartialText {
    /// Id of the last event; 0 for none.
    pub last_event: u64,
    /// Data of the events so far, separated by line feeds.
    pub message: Vec<u8>,
    /// Versions so far.
    pub versions: Vec<u64>,
}
