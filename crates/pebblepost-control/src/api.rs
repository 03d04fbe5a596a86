//! The HTTP interface without I/O: requests, the operations they ask for, responses.
//!
//! Owns no state. Paths, headers, status codes and bodies are the interface to operators and transcribers and keep
//! their form.

pub mod registration;
mod request;
mod response;

pub use request::{HttpRequest, MAX_BODY_BYTES, Operation};
pub use response::HttpResponse;
