//! Plans roll-outs of weight versions: which transcriber loads which version, and when.
//!
//! * [`Planner`] takes events from the caller and returns the actions that the caller must carry out.
//! * `placement` selects the transcriber and the model to load next.
//! * `transcriber`, `pending_order` and `backoff` hold the state of one transcriber and of its load order.
//! * `named_versions` and `version_lag` hold the newest version of each model and the lag that its jobs allow.
//!
//! The crate does no I/O and reads no clock. The caller sends the orders, fetches the reports, and passes the
//! current time as the duration since an arbitrary start of its monotonic clock.

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
