//! pebblepost_dispatch decides, for one dispatcher node, which worker gets which job.
//!
//! The crate does no input or output and reads no clock: the caller hands every [`Event`] to a
//! [`Dispatcher`] together with the time, and carries out the [`Action`]s it returns. The same
//! events and seed always give the same actions.
//!
//! Interface: [`api`] has the settings, events and actions, [`wire`] translates the byte protocol of the
//! operators' simulator into them, [`Dispatcher`] takes events in and puts actions out. `request_flow` is
//! the way of a request from its arrival to its answer.
//!
//! Decisions, each by what it is given:
//!
//! * `probing`: which worker is drawn next.
//! * `placement`: which of the probed workers gets a job, by the design's rule.
//! * `admission`: until when a request is worth starting, and whether it is worth queueing.
//! * `retry`: whether and where a request may be sent again.
//! * `slow_start`: what a worker that warms up may get.
//! * [`reservation`]: what is reserved for large jobs; [`job_size`]: which jobs are large.
//! * [`outlier_detection`]: for how long a worker is ejected from the draws.
//! * [`affinity`]: which workers jobs of one key go to.
//! * `discovery`: when the membership is polled for.
//!
//! State, and what is learned: `node_state` holds it all, `worker_table` and `request_table` the workers and
//! requests, `load` and [`forecast`] what to expect of a worker, `report_quality` how far load reports can
//! be believed, `service_times` and [`estimators`] times and rates, `connections` which idle connections are
//! safe, `timers` the layout of timer tokens.

mod admission;
pub mod affinity;
pub mod api;
mod connections;
mod discovery;
mod dispatcher;
pub mod estimators;
pub mod forecast;
pub mod job_size;
mod load;
mod node_state;
pub mod outlier_detection;
mod placement;
mod probing;
mod report_quality;
mod request_flow;
mod request_table;
pub mod reservation;
mod retry;
mod service_times;
mod slow_start;
mod timers;
pub mod wire;
mod worker_table;

#[doc = include_str!("../../../README.md")]
#[cfg(doctest)]
struct Readme;

pub use api::{Action, Event, Settings};
pub use dispatcher::Dispatcher;
