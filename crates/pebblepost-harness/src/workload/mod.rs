//! The workload of a run: the workers, the requests and the faults. A [`RunSpec`](spec::RunSpec) is a handful of figures; a [`Plan`](plan::Plan) is what
//! one seed makes of it, drawn in full before the run, so that arrivals do not wait for answers and two settings meet the same
//! work. Nothing here knows a clock or a process.
//!
//! * [`spec`]: what is asked for
//! * [`workers`], [`arrivals`], [`faults`]: the three parts of a plan, and how each is drawn
//! * [`plan`]: a plan as a whole
//! * [`latency_target`]: when a request counts as answered in time

pub mod arrivals;
mod error;
pub mod faults;
pub mod latency_target;
pub mod plan;
mod random;
pub mod spec;
pub mod workers;

pub use error::PlanError;
