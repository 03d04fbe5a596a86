//! Program of the storage machines: custody of batch jobs.
//!
//! * [`store`]: what the program does, without I/O or clock: replicas of the groups of jobs, the
//!   calls of proxies, leases of work.
//! * `program`: links, disk, signals; carries out what [`store`] returns.

mod program;
pub mod store;

pub use program::run;
