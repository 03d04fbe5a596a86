//! Faults of processes and of the network links between them. Nothing here depends on what the processes do.
//!
//! * [`tcp_relay`]: a relay between two processes that can hold, delay, throttle or reset a connection
//! * [`schedule`]: which fault happens when, drawn from a seed; can be printed, replayed and reduced
//! * [`managed_process`]: child processes that are killed, suspended, stopped and restarted
//! * [`signal`]: signals to child processes

pub mod managed_process;
pub mod schedule;
pub mod signal;
pub mod tcp_relay;
