//! State of batch jobs, without I/O or clock.
//!
//! * [`command`]: entries of the replicated log of a group of jobs.
//! * [`state`]: the replicated state that they make: jobs, bodies, results at fixed positions.
//! * [`job`]: one job in it.
//! * [`clock`]: the time of a group, stamped on its entries, that only rises.
//! * [`scheduler`]: soft state of a primary: which items wait, which are leased and to whom.
//! * [`admission`]: whether there is room for another job.
//!
//! The caller hands in the time since an arbitrary start of its steady clock.

pub mod admission;
pub mod clock;
pub mod command;
pub mod job;
pub mod scheduler;
pub mod state;
