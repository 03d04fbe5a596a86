//! Replicated state and scheduling of batch jobs, without I/O or clock.
//!
//! Batch jobs are partitioned into store groups. Each store group is a separate replicated state
//! machine. The modules form layers; each depends only on those above it in this list:
//!
//! * [`job`]: one stored job with its items, its results at fixed positions and its estimated memory.
//! * [`command`]: the entries of a store group's replicated log.
//! * [`state`]: the replicated state machine that applies the entries.
//! * [`admission`]: the check whether another job fits into the memory budget.
//! * [`clock`]: the monotonic time of a store group, which is stamped on its log entries.
//! * [`scheduler`]: the soft state of a primary: pending items and the leases of proxies.
//!
//! The crate performs no I/O and never blocks. The caller passes the time since an arbitrary start of
//! its monotonic clock and acts on the returned values.

pub mod admission;
pub mod clock;
pub mod command;
pub mod job;
pub mod scheduler;
pub mod state;
