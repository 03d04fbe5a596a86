//! Placement of groups of items, and of calls of scorers, on transcribers.
//!
//! * `requirements`: what a request needs of its transcriber.
//! * [`subset`]: which transcribers this proxy uses; `candidates`: in which order they are probed.
//! * `probing`: load and versions of a candidate, by a probe where no report is fresh.
//! * [`choice`]: the placement rule.
//! * `reservation`: the slot at a transcriber that a placement ends in.
//! * `placer`: the loop over these, with its back-off.
//!
//! Decides where requests go; never sends one, probes apart.

pub(crate) mod candidates;
pub mod choice;
pub(crate) mod placer;
pub(crate) mod probing;
pub(crate) mod requirements;
pub(crate) mod reservation;
pub mod subset;
