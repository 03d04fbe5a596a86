//! Simulated workers.
//!
//! * [`model`]: the state of one, without I/O or clock
//! * [`simulated`]: one in time: its faults, its load reports, its connections' state
//! * [`http`]: the wire protocol of one
//! * [`pool`]: all of them, and the clock that drives them

pub mod http;
pub mod model;
pub mod pool;
pub mod simulated;
