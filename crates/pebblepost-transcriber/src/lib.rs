//! HTTP/1.1 client for transcribers: a connection pool, buffered responses, event streams and load reports.
//!
//! The exchanges are those of the protocol, section "Transcribers".
//!
//! The crate owns the connections to transcribers and decides what a failed exchange means: whether the request
//! certainly did not run, or may have. It never retries, routes or chooses a transcriber; its callers do. Everything
//! runs on a current-thread `tokio` runtime.
//!
//! Dependencies point downwards: [`Client`] uses a `call`, this one the `pool`, its `connection`s, and the building and
//! validation of requests and responses.

mod call;
mod client;
mod connection;
mod error;
mod event_parser;
mod event_stream;
mod headers;
mod load;
mod metrics;
mod model;
mod pool;
mod request;
mod response;
mod state;

pub use client::Client;
pub use error::ClientError;
pub use event_parser::{EventParser, InvalidEvent, StreamEvent};
pub use event_stream::{EventStream, StreamResponse};
pub use headers::remove_connection_headers;
pub use load::{Load, parse_instance_load, parse_load_report};
pub use metrics::ClientMetrics;
pub use model::{BufferedResponse, ClientLimits, OutgoingRequest, ResponseHead, Target};
