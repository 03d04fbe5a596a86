//! Execution of leased items, from the request for work to the outcome.
//!
//! * `work_requests`: requests items from the stores while there is capacity.
//! * `lease`: places the items of a lease and starts their tasks.
//! * `item`: executes one item: attempts until its text is complete, then its scorer calls.
//! * `attempt`: makes one attempt at a text; `scorer`: makes one scorer call; [`priority`]: the `Priority` header.
//! * `blocked_items`: items that cannot be sent at present, which hold no place.
//! * `outcomes`: passes outcomes to the outbox.
//! * `graceful_shutdown`: finishes or returns the items in flight.
//!
//! The modules below hold the state (leases, loads, capacity, texts), and `placement` chooses transcribers. This
//! module sends the requests.

pub(crate) mod attempt;
pub(crate) mod blocked_items;
pub(crate) mod graceful_shutdown;
pub(crate) mod item;
pub(crate) mod lease;
pub(crate) mod outcomes;
pub mod priority;
mod request_headers;
pub(crate) mod scorer;
pub(crate) mod work_requests;
