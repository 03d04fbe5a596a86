//! Replicated state and scheduling of batch jobs, without I/O or clock.
//!
//! Batch jobs are spread over groups; each group is a replicated state machine of its own. Layers,
//! each of which knows only those above it in this list:
//!
//! * [`job`]: one stored job: its items, results at fixed positions, and an estimate of its memory.
//! * [`command`]: the entries of a group's replicated log.
//! * [`state`]: the replicated state machine that applies them.
//! * [`admission`]: whether another job fits into the memory budget.
//! * [`clock`]: the time of a group, which is stamped on its log entries and never goes back.
//! * [`scheduler`]: soft state of a primary: which items are pending, and which proxy leases which.
//!
//! The crate never sends, stores or waits: the caller passes the time since an arbitrary start of its
//! monotonic clock, and carries out what the functions return.

pub mod admission;
pub mod clock;
pub mod command;
pub mod job;
pub mod scheduler;
pub mod state;
