//! Management of the storage nodes of batch jobs by the acting primary: their liveness, and the changes of the group
//! assignments that the primary should propose.
//!
//! Owns only the soft state of storage nodes. The assignments are part of the replicated state; the planner changes
//! them by the commands that it returns.

mod nodes;
pub mod placement;
mod planner;

pub use nodes::StorageNodes;
pub use planner::GroupPlanner;
