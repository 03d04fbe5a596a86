//! Requests, responses and limits.

use crate::load::Load;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// A transcriber to which requests are sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Identity of the incarnation, sent as `Target-Instance`.
    pub instance: String,
    /// Address at which it listens.
    pub address: SocketAddr,
}

/// A request to forward.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query, sent unchanged.
    pub path: String,
    /// End-to-end headers, `Host` and `Request-Id` among them; hop-by-hop headers are removed already
    /// ([`crate::remove_connection_headers`]).
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Id that the response must carry; empty for none.
    pub request_id: String,
    /// Time left, sent as `Deadline-Ms`; the call ends by itself then.
    pub timeout: Duration,
}

/// Head of a response that carries the right `Request-Id`.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The transcriber states that it did not run the request (`Not-Executed`, or status 421).
    pub not_executed: bool,
    /// Load of the transcriber, if the response reports it in `Instance-Load`.
    pub load: Option<Load>,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Its head.
    pub head: ResponseHead,
    /// Its body.
    pub body: Bytes,
}

/// Limits of the client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// Most connections to one transcriber, idle and in use together; at least 1.
    pub max_connections_per_transcriber: usize,
    /// An idle connection is closed after this time, or earlier if the transcriber's `Keep-Alive` says so.
    pub idle_timeout: Duration,
    /// Largest body of a buffered response, in bytes.
    pub max_body_bytes: usize,
}
