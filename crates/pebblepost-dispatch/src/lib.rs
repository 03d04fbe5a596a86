//! Decides, for one dispatcher, which worker gets which job.
//!
//! The crate does no I/O and reads no clock. The caller passes every [`Event`] to a [`Dispatcher`] together
//! with the time, and carries out the [`Action`]s that it returns. The same settings, seed and events always
//! give the same actions. A *node* is one running dispatcher.
//!
//! Interface: [`api`] defines the settings, events and actions. [`wire`] translates the byte protocol of the
//! operators' simulator into them. [`Dispatcher`] handles events and returns actions. `request_flow` controls
//! the lifecycle of a request from arrival to answer.
//!
//! Decisions:
//!
//! * `probing`: which worker is probed next.
//! * `placement`: which of the probed workers gets a job.
//! * `admission`: until when a request is worth starting, and whether it is worth queueing.
//! * `retry`: whether and where a request may be sent again.
//! * `slow_start`: which load a worker may get while it warms up.
//! * [`reservation`]: which slots are reserved for large jobs; [`job_size`]: which jobs are large.
//! * [`outlier_detection`]: for how long a worker is ejected from the draws.
//! * [`affinity`]: which workers the jobs of a key go to.
//! * `discovery`: when the membership is polled.
//!
//! State and estimates: `node_state` owns all state, `worker_table` and `request_table` the workers and
//! requests. `load` and [`forecast`] model what to expect of a worker, `report_quality` how far load reports
//! can be trusted. `service_times` and [`estimators`] hold durations and rates, `connections` which idle
//! connections are safe to use. `timers` defines the layout of timer tokens.

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
