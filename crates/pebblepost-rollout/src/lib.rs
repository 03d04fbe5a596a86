//! Plans roll-outs of weight versions: which transcriber loads which version when. No I/O, no clock.
//!
//! * [`Planner`]: takes in what happens and puts out what the caller must do.
//! * `placement`: which transcriber loads which model next.
//! * `transcriber`, `pending_order`, `backoff`: state of one transcriber and of the order sent to it.
//! * `named_versions`, `version_lag`: the newest version of each model, and the lag that its jobs allow.
//!
//! The crate sends nothing and waits for nothing: the caller passes the time since an arbitrary start of
//! its monotonic clock, sends the orders and fetches the reports.

mod backoff;
mod message;
mod named_versions;
mod pending_order;
mod placement;
mod planner;
mod transcriber;
mod version_lag;

pub use message::{LoadMode, LoadOrder, OrderOutcome, PlanOutput, TranscriberReport};
pub use planner::Planner;
