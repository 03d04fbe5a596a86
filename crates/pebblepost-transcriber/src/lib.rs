//! HTTP client for transcribers: connections, whole answers, streams, load reports.
//!
//! Interface agreed with the programs. Everything runs on a current-thread `tokio` runtime.

mod answer;
mod client;
mod connection;
mod events;
mod headers;
mod pool;
mod report;
mod request;
mod stream;

pub use client::Client;
pub use events::{EventParser, InvalidEvent, StreamEvent};
pub use headers::remove_connection_headers;
pub use report::{parse_instance_load, parse_load_report};
pub use stream::{EventStream, StreamResponse};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// A transcriber to which a request is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Identity of the incarnation, sent as `Target-Instance`.
    pub instance: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A request to send on.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub path: String,
    /// Headers to pass on; those of one connection only are already taken out. `Host` and
    /// `Request-Id` are among them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Id that must come back in the answer.
    pub request_id: String,
    /// Time left, sent as `Deadline-Ms`; the call ends by itself then.
    pub deadline: Duration,
}

/// Why a call brought no answer of the transcriber's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// No connection, or the connection turned out closed before a byte of the request was
    /// written: it has not run.
    NotSent,
    /// The connection broke or fell silent after bytes were written: it may have run.
    MayHaveRun,
    /// Nothing by the deadline: it may have run.
    TimedOut,
}

/// Load of a transcriber, as `Instance-Load` or `GET /report` tell it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Slots, where told.
    pub slots: Option<u32>,
    /// An order is under way.
    pub order_in_progress: bool,
    /// Orders taken.
    pub sequence: u64,
    /// Models and their versions.
    pub models: Vec<(String, u64)>,
}

/// Head of an answer that carries the right `Request-Id`.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Headers, without those of one connection only.
    pub headers: HeaderMap,
    /// The transcriber says that it did not run the request (`Not-Executed`, or status 421).
    pub not_executed: bool,
    /// Load, where the answer tells it.
    pub load: Option<Load>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Its head.
    pub head: ResponseHead,
    /// Its body, whole.
    pub body: Bytes,
}

/// What the client does, counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientMetrics {
    /// Connections opened.
    pub connections: u64,
    /// Of these, connections to a transcriber to which there was none.
    pub initial_connections: u64,
    /// Of these, connections in the place of one that had rested too long or was found closed.
    pub replaced_connections: u64,
    /// Requests sent, reports and orders included.
    pub requests: u64,
    /// Reports asked for.
    pub reports: u64,
}

/// Limits of the client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Time for a connection to come up.
    pub connect_timeout: Duration,
    /// Most connections to one transcriber, idle and busy together.
    pub max_connections_per_transcriber: usize,
    /// An idle connection is closed after this time, or earlier if `Keep-Alive` says so.
    pub idle_timeout: Duration,
    /// Most bytes of a whole answer.
    pub max_body_bytes: usize,
}
