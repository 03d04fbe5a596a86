//! Storage of batch jobs as the acting primary sees it: which storage nodes are live, and which changes of the group
//! assignments the primary should propose.
//!
//! Owns the soft state on storage nodes only. Assignments live in the replicated state; nothing here changes them, the
//! planner returns commands.

mod nodes;
pub mod placement;
mod planner;

pub use nodes::StorageNodes;
pub use planner::GroupPlanner;
