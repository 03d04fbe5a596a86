//! HTTP/1.1 client for transcribers: a connection pool, buffered responses, event streams and load reports.
//!
//! Requests and responses follow the section "Transcribers" of the protocol documentation.
//!
//! The crate owns the connections to transcribers. For a failed request it reports whether the request certainly did
//! not run or may have run ([`ClientError`]). Retries, routing and the choice of a transcriber are left to the callers.
//! Everything runs on a current-thread `tokio` runtime.
//!
//! Modules depend on each other in one direction: `client` uses `call`, which uses `pool`, `connection`, `request` and
//! `response`.

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
