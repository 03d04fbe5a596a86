//! pebblepost_dispatch decides, for one dispatcher node, which worker gets which job.
//!
//! The crate does no input or output and reads no clock: the caller hands every [`Event`] to a
//! [`Dispatcher`] together with the time, and carries out the [`Action`]s it returns. The same
//! events and seed always give the same actions.
//!
//! * [`api`]: settings, events and actions.
//! * [`classes`]: classes that become known while a node runs.
//! * [`policy`]: every decision, in one module.
//! * [`outlier_detection`]: for how long a worker is ejected from the draws.
//! * [`affinity`]: which workers jobs of one key go to.
//! * [`estimators`]: running estimates of rates, durations, waits and shares.
//! * [`forecast`]: when slots are expected to come free at a worker.
//! * [`job_size`]: which jobs are large.
//! * [`reservation`]: what is reserved for large jobs.
//! * [`wire`]: the byte protocol of the operators' bench, translated into [`api`] types.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod affinity;
pub mod api;
pub mod classes;
pub mod estimators;
pub mod forecast;
pub mod job_size;
pub mod outlier_detection;
pub mod policy;
pub mod reservation;
/// The former path of [`reservation`].
pub use reservation as room;
pub mod wire;

#[doc = include_str!("../../../README.md")]
#[cfg(doctest)]
struct Readme;

pub use api::{Action, Event, Settings};
pub use policy::Dispatcher;
