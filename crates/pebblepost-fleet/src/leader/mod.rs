//! The heartbeats that the Raft leader has received, and the commands and reports that it derives from them
//! and the state. They are soft state: a new leader begins without any. No I/O; time is monotonic and passed
//! as an argument.

mod drain_status;
mod request_totals;
mod sessions;
mod worker_majority;

pub use drain_status::{DrainStatus, UnconfirmedReason, drain_status};
pub use request_totals::{IncarnationRequests, request_totals};
pub use sessions::{HeartbeatOutcome, Sessions};
pub use worker_majority::majority_worker_update;
