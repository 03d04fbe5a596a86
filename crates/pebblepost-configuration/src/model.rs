//! Typed values of a document: routes, services and limits.

use std::time::Duration;

/// Kind of the requests of a route. It decides whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may be executed more than once.
    Idempotent,
    /// A request is executed at most once.
    NonIdempotent,
    /// Batch jobs of model trainers.
    Rollout,
}

/// A route: which requests it matches and how they are forwarded. The sections "Requests" and "Batch jobs" of the
/// protocol define the fields.
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
    /// Kind of its requests, which decides whether they may be retried.
    pub kind: RouteKind,
    /// Whether responses are event streams.
    pub streaming: bool,
    /// Whether an interrupted stream may be resumed at another transcriber.
    pub resumable: bool,
    /// Whether requests name the prefixes of their prompt, for prefix-cache affinity.
    pub sticky: bool,
    /// Time limit for answering a request.
    pub timeout: Duration,
    /// Latency target. A response within it has its full value.
    pub target_latency: Duration,
    /// Priority class; 0 is the highest.
    pub priority: u32,
    /// Names of services with their weights. Never empty, and the sum of the weights is above 0.
    pub backends: Vec<(String, u64)>,
    /// Largest number of transcribers to which one request of a client is sent; at least 1. A retry by the client is a
    /// new request.
    pub max_attempts: u32,
    /// For batch jobs: time after the first submission at which results are due.
    pub run_deadline: Duration,
    /// For batch jobs: time after the first submission from which an item may be dead-lettered.
    pub queue_ttl: Duration,
    /// For batch jobs: whether the whole text of an item must be generated under a single weight version.
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
    /// Largest number of connections that each of its transcribers accepts from all clients together.
    pub max_conns: u32,
    /// Names of the models that its transcribers serve. Empty for services that generate no tokens.
    pub models: Vec<String>,
    /// Number of requests that one engine runs concurrently, if the document states it.
    pub engine_slots: Option<u32>,
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request head must arrive.
    pub header_timeout: Duration,
    /// Longest time for which a client connection may be idle.
    pub idle_timeout: Duration,
}
