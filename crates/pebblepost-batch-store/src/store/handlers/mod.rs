//! Input handlers: methods of [`Store`](super::Store), one file for each kind of input.

mod assignment;
mod job_admission;
mod job_calls;
mod leases;
mod maintenance;
mod replica_outputs;
mod shutdown;
mod status;
mod version_lag;
