//! Types of the public interface: requests, responses and limits.

use crate::load::Load;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// An instance of a transcriber to which requests are sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Id of the instance, sent as `Target-Instance`.
    pub instance: String,
    /// Address at which the instance listens.
    pub address: SocketAddr,
}

/// A request to forward.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, sent unchanged.
    pub path: String,
    /// End-to-end headers, including `Host` and `Request-Id`. The caller must have removed hop-by-hop headers, see
    /// [`crate::remove_connection_headers`].
    pub headers: HeaderMap,
    /// Complete body; its length replaces any `Content-Length` in `headers`.
    pub body: Bytes,
    /// `Request-Id` that the response must carry; empty if it must carry none.
    pub request_id: String,
    /// Time left for the call, including the wait for a connection. What is left of it when the request is written is
    /// sent as `Deadline-Ms`.
    pub timeout: Duration,
}

/// Head of a response whose `Request-Id` is that of the request.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Whether the transcriber states that it did not run the request (`Not-Executed`, or status 421).
    pub not_executed: bool,
    /// Load of the transcriber, if the response has a valid `Instance-Load`.
    pub load: Option<Load>,
}

/// A response that was read completely.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status, headers and load.
    pub head: ResponseHead,
    /// Complete body.
    pub body: Bytes,
}

/// Limits of the client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Maximum number of connections to one transcriber, idle ones included; 0 counts as 1. Further calls wait.
    pub max_connections_per_transcriber: usize,
    /// Time after which an idle connection is closed. A shorter `Keep-Alive` timeout of the transcriber takes
    /// precedence.
    pub idle_timeout: Duration,
    /// Maximum size of the body of a buffered response, in bytes.
    pub max_body_bytes: usize,
}
