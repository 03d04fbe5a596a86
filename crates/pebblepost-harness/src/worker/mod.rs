//! Simulated workers: [`model`] is the state of one without I/O or clock, [`pool`] puts all of them behind sockets.

pub mod model;
pub mod pool;
