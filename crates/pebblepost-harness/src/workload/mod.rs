//! The workload of a run: the workers, the requests and the faults.
//!
//! A [`RunSpec`](spec::RunSpec) holds the parameters of a run. A [`Plan`](plan::Plan) is drawn from it by a seed, completely and
//! before the run. Arrivals therefore do not depend on answers, and runs with different settings get the same work. This module
//! uses neither a clock nor processes.
//!
//! * [`spec`]: the parameters of a run
//! * [`workers`], [`arrivals`], [`faults`]: the three parts of a plan, and how each is drawn
//! * [`plan`]: a complete plan
//! * [`latency_target`]: the latency target within which a request counts as answered in time

pub mod arrivals;
mod error;
pub mod faults;
pub mod latency_target;
pub mod plan;
mod random;
pub mod spec;
pub mod workers;

pub use error::PlanError;
