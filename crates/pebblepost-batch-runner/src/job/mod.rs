//! The HTTP face of batch jobs: jobs are submitted, their results read, and jobs ended.
//!
//! * `api`: the calls; each goes to the primary of the job's store group.
//! * [`request`]: reads a submitted job; [`result_page`]: writes results.
//! * `http_response`: responses without content of a job.
//!
//! Owns no state: jobs are the stores'. Executes nothing.

pub(crate) mod api;
mod http_response;
pub mod request;
pub mod result_page;
