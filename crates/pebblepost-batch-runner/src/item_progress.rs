//! Progress of an item in flight: its text and its failed attempts.
//!
//! Owned by the lease table and shared with the task that executes the item.

use crate::text::{Text, VersionRequirement};
use pebblepost_messages::batch::{LeasedItem, PartialText};
use std::cell::RefCell;
use std::rc::Rc;

/// The progress of an item, shared between the lease table and the item's task.
pub type SharedProgress = Rc<RefCell<ItemProgress>>;

/// Progress of an item in flight.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemProgress {
    /// Failed attempts at the text.
    pub failed_attempts: u32,
    /// Failed attempts at the scorer's call.
    pub failed_scorer_attempts: u32,
    /// The text.
    pub text: Text,
    /// All events of the text have arrived.
    pub is_complete: bool,
}

impl ItemProgress {
    /// The progress with which an item was leased.
    pub fn from_leased(leased: &LeasedItem, requirement: VersionRequirement) -> ItemProgress {
        ItemProgress {
            failed_attempts: leased.failed_attempts,
            failed_scorer_attempts: leased.failed_scorer_attempts,
            text: Text::from_partial(leased.partial.clone(), requirement),
            is_complete: false,
        }
    }

    /// The text to return to the store with an unfinished item.
    pub fn partial(&self) -> PartialText {
        if self.is_complete { self.text.partial_before_last_event() } else { self.text.partial() }
    }
}
