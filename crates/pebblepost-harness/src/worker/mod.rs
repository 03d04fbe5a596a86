//! Simulated workers.
//!
//! * [`model`]: the state of a worker, without I/O or a clock
//! * [`simulated`]: a worker with faults, load reports and the state of its connections
//! * [`http`]: the wire protocol of a worker
//! * [`pool`]: all workers of a run, and the clock that advances them

pub mod http;
pub mod model;
pub mod pool;
pub mod simulated;
