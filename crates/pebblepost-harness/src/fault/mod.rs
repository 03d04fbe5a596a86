//! Faults between processes. Kept apart so that each can serve other runs:
//!
//! * [`relay`]: what sits on the wire between two processes and does to it what it is told.
//! * [`schedule`]: which fault when, drawn from a seed; printed, replayed, and shrunk by leaving faults out.
//! * [`managed_process`]: processes that are killed, paused, stopped and started again.

pub mod managed_process;
pub mod relay;
pub mod schedule;
