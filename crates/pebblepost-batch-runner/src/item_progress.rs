//! Progress of an item in flight: its text and its failed attempts.
//!
//! The progress is stored in the lease table and shared with the task that executes the item.

use crate::text::{GeneratedText, VersionRequirement};
use pebblepost_messages::batch::{LeasedItem, PartialText};
use std::cell::RefCell;
use std::rc::Rc;

/// Progress of an item, shared between the lease table and the item's task.
pub type SharedProgress = Rc<RefCell<ItemProgress>>;

/// Progress of an item in flight.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemProgress {
    /// Number of failed attempts at the text.
    pub failed_attempts: u32,
    /// Number of failed scorer calls.
    pub failed_scorer_attempts: u32,
    /// Text generated so far.
    pub text: GeneratedText,
    /// Whether all events of the text have arrived.
    pub is_complete: bool,
}

impl ItemProgress {
    /// Returns the progress stated in the lease. A stored text whose versions are not allowed is dropped.
    pub fn from_leased(leased: &LeasedItem, requirement: VersionRequirement) -> ItemProgress {
        ItemProgress {
            failed_attempts: leased.failed_attempts,
            failed_scorer_attempts: leased.failed_scorer_attempts,
            text: GeneratedText::from_partial(leased.partial.clone(), requirement),
            is_complete: false,
        }
    }

    /// Returns the text to store with an unfinished item. A complete text is returned without its last event, which
    /// the next attempt generates again.
    pub fn partial(&self) -> PartialText {
        if self.is_complete { self.text.partial_before_last_event() } else { self.text.partial() }
    }
}
