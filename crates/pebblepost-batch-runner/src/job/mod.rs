//! The HTTP face of batch jobs.

pub mod request;
pub mod result_page;
