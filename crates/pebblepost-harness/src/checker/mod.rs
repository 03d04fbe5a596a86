//! The rules of the system, checked on the event log of a run. It knows of the dispatchers only what clients, workers and
//! discovery saw, and changes nothing.
//!
//! * [`limits`], [`rules`]: the limits that the rules set, and what of a log breaks them
//! * [`availability`]: what discovery published and sent of each worker, and how soon dispatchers act on it
//! * [`slow_start`]: load on workers that have started lately
//! * [`exits`]: what dispatchers that ended are excused from

pub mod availability;
pub mod exits;
pub mod limits;
pub mod rules;
pub mod slow_start;
