//! Placement of groups of items on transcribers.

pub mod choice;
pub mod subset;
