//! Placement of groups of items, and of scorer calls, on transcribers.
//!
//! * `requirements`: what a request requires of its transcriber.
//! * [`subset`]: which transcribers this proxy uses; `candidates`: the order in which they are probed.
//! * `probing`: load and versions of a candidate, from a fresh report or a probe.
//! * [`choice`]: the placement rule.
//! * `reservation`: the slot at a transcriber that a placement reserves.
//! * `placer`: the placement loop over these modules, with its backoff.
//!
//! This module decides where requests go. It sends probes, but never the requests themselves.

pub(crate) mod candidates;
pub mod choice;
pub(crate) mod placer;
pub(crate) mod probing;
pub(crate) mod requirements;
pub(crate) mod reservation;
pub mod subset;
