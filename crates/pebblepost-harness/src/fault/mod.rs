//! Faults of processes and of the links between them. Nothing here knows what the processes do.
//!
//! * [`tcp_relay`]: a relay between two processes that can hold, delay, throttle or reset bytes
//! * [`schedule`]: which fault happens when, drawn from a seed; printed, replayed, shrunk
//! * [`managed_process`]: processes that are killed, suspended, stopped and started again
//! * [`signal`]: signals to processes

pub mod managed_process;
pub mod schedule;
pub mod signal;
pub mod tcp_relay;
