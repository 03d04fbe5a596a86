//! Typed contents of a document: routes, services and limits.

use std::time::Duration;

/// What running a request twice would do, and so how it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Batch jobs of trainers.
    Rollout,
}

/// A route: which requests it matches, and the terms under which they are forwarded (protocol, sections "Requests" and
/// "Batch jobs").
///
/// Defaults of absent fields: `timeout` 30 s, `target_latency` 1 s, `priority` 5, `max_attempts` 1,
/// `run_deadline` 60 s, `queue_ttl` 1 h, flags false.
#[derive(Clone, Debug, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent settings of the document")]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Host that the route matches.
    pub hostname: String,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may be retried.
    pub kind: RouteKind,
    /// Responses are event streams.
    pub streaming: bool,
    /// An interrupted stream may be resumed at another transcriber.
    pub resumable: bool,
    /// Requests name the prefixes of their prompt, for prefix-cache affinity.
    pub sticky: bool,
    /// Longest time for which a request is kept before it is answered.
    pub timeout: Duration,
    /// Latency target: a response within it has its full value.
    pub target_latency: Duration,
    /// Priority class, 0 highest.
    pub priority: u32,
    /// Names of services with their weights; never empty, and the weights sum to more than 0.
    pub backends: Vec<(String, u64)>,
    /// Most transcribers that one request of a client may be sent to; at least 1. A client's retry is a new request.
    pub max_attempts: u32,
    /// Batch jobs: time after the first submission by which results are due.
    pub run_deadline: Duration,
    /// Batch jobs: time after the first submission from which on an item may be dead-lettered.
    pub queue_ttl: Duration,
    /// Batch jobs: the whole text of an item is made under one version of the weights.
    pub single_version: bool,
}

/// A service: a set of interchangeable transcribers.
///
/// Defaults of absent fields: `health_path` `/healthz`, `max_conns` 100.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Most connections that one of its transcribers accepts, from all clients together.
    pub max_conns: u32,
    /// Models that its transcribers serve; empty for services that generate no tokens.
    pub models: Vec<String>,
    /// Requests that one engine runs concurrently, if the document says so.
    pub engine_slots: Option<u32>,
}

/// Limits on the requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time in which a request head must arrive.
    pub header_timeout: Duration,
    /// Longest time for which a client's connection may be idle.
    pub idle_timeout: Duration,
}
