//! The HTTP interface without I/O: requests, the operations that they request, and responses.
//!
//! Owns no state. Paths, headers, status codes and bodies are a stable interface to operators and transcribers.

pub mod registration;
mod request;
mod response;

pub use request::{HttpRequest, MAX_BODY_BYTES, Operation};
pub use response::HttpResponse;
