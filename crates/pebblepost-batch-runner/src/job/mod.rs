//! HTTP interface of batch jobs: clients submit jobs, read their results and end them.
//!
//! * `api`: the calls; each is sent to the primary of the job's store group.
//! * [`request`]: parses a submitted job. Of its parts, `json_fields` reads the text, `item_parser` an item, and
//!   `job_memory` reserves the memory of all of them.
//! * [`result_page`]: serializes results.
//! * `body`: bodies of responses, which are sent in chunks.
//! * `http_response`: constructors of HTTP responses.
//!
//! This module has no state, because jobs are stored by the stores, and executes nothing.

pub(crate) mod api;
mod body;
mod error;
mod http_response;
mod item_parser;
mod job_memory;
mod json_fields;
pub mod request;
pub mod result_page;

pub use body::JobBody;
