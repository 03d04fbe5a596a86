//! Checks the safety rules of the dispatchers against the event log of a run.
//!
//! The checker is a pure function of the log. The log holds only what clients, workers and discovery observe, so the checker
//! does not depend on the internals of a dispatcher.
//!
//! * [`limits`], [`rules`]: the limits, and the rules that are checked with them
//! * [`availability`]: the availability of workers as published, and how long dispatchers take to act on it
//! * [`slow_start`]: the load on workers that have restarted recently
//! * [`exits`]: the missing answers that exits of dispatchers account for

pub mod availability;
pub mod exits;
pub mod limits;
pub mod rules;
pub mod slow_start;
