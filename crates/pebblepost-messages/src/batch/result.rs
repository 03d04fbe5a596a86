//! Results of items, and the partial text of unfinished items.

use nanoserde::{DeBin, SerBin};

/// How an item ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub enum ResultState {
    /// The text is complete.
    #[default]
    Completed,
    /// The item was dead-lettered: it failed too many attempts or exceeded its queue time.
    DeadLetter,
}

/// Result of an item.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ItemResult {
    /// Id of the item.
    pub id: String,
    /// How it ended.
    pub state: ResultState,
    /// Data of all events in their order, separated by line feeds.
    pub message: Vec<u8>,
    /// Every weight version that generated an event of the text, in the order of their first events.
    pub versions: Vec<u64>,
    /// `Response-Seal` of the response to the scoring request; empty if the item has no scorer.
    pub score: String,
}

/// Text of an unfinished item. Its generation is resumed after the last event.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct PartialText {
    /// Id of the last event; 0 if there is none.
    pub last_event: u64,
    /// Data of the events received so far, separated by line feeds.
    pub message: Vec<u8>,
    /// Weight versions that generated the events, in the order of their first events.
    pub versions: Vec<u64>,
}
