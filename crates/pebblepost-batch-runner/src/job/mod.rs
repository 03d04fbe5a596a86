//! HTTP interface of batch jobs: clients submit jobs, read their results and end them.
//!
//! * `api`: the calls; each is sent to the primary of the job's store group.
//! * [`request`]: parses a submitted job; [`result_page`]: serializes results.
//! * `http_response`: constructors of HTTP responses.
//!
//! This module has no state, because jobs are stored by the stores, and executes nothing.

pub(crate) mod api;
mod http_response;
pub mod request;
pub mod result_page;
