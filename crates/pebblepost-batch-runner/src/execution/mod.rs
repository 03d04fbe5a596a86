//! Execution of leased items: from the request for work to the outcome.
//!
//! * `work_requests`: requests items from the stores while there is capacity.
//! * `lease`: places the items of a lease and starts their tasks.
//! * `item`: one item: attempts until its text is complete, then its scorer's call.
//! * `attempt`: one attempt at a text; `scorer`: one call of a scorer; [`priority`]: the `Priority` header.
//! * `outcomes`: hands outcomes to the outbox.
//! * `graceful_shutdown`: finishes or returns what is in flight.
//!
//! State is below (leases, loads, capacity, texts), and placement beside it; this folder sends the requests.

pub(crate) mod attempt;
pub(crate) mod graceful_shutdown;
pub(crate) mod item;
pub(crate) mod lease;
pub(crate) mod outcomes;
pub mod priority;
mod request_headers;
pub(crate) mod scorer;
pub(crate) mod work_requests;
