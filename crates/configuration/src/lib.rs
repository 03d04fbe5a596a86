//! The operator's configuration: checks, patches, routing table.
//!
//! Documents are read and checked as `simd-json` values. Interface agreed with the programs.

use std::time::Duration;

/// What running a request twice would do, and how it is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// At most once.
    NonIdempotent,
    /// Batch jobs of trainers.
    Rollout,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that it serves.
    pub hostname: String,
    /// Prefix of the paths that it serves; begins and ends with a slash.
    pub path_prefix: String,
    /// How its requests may be repeated.
    pub kind: RouteKind,
    /// Answers are streams of events.
    pub streaming: bool,
    /// A stream may be taken up at another transcriber.
    pub resumable: bool,
    /// Requests name parts of their prompt.
    pub sticky: bool,
    /// Longest time a request is held.
    pub timeout: Duration,
    /// Time inside which an answer has its full worth.
    pub target_latency: Duration,
    /// Rank, 0 highest.
    pub priority: u32,
    /// Services with their weights; never empty, weights sum to more than 0.
    pub backends: Vec<(String, u64)>,
    /// Most transcribers that one try may be sent to.
    pub max_attempts: u32,
    /// Batch jobs: time after the first send by which results are due.
    pub run_deadline: Duration,
    /// Batch jobs: time after the first send at which an item may be given up.
    pub queue_ttl: Duration,
    /// Batch jobs: a text must be made under a single version.
    pub single_version: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one of its transcribers takes from all callers together.
    pub max_conns: u32,
    /// Models that its transcribers hold; empty where they make no tokens.
    pub models: Vec<String>,
    /// Requests that an engine runs at once, where told.
    pub engine_slots: Option<u32>,
}

/// Bounds on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head.
    pub max_header_bytes: usize,
    /// Largest body.
    pub max_body_bytes: usize,
    /// Longest time for a head.
    pub header_timeout: Duration,
    /// Longest time a connection may rest.
    pub idle_timeout: Duration,
}

/// A configuration that passed all checks.
#[derive(Clone, Debug)]
pub struct Configuration {
    document: Vec<u8>,
    generation: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Limits,
}

/// Why a document was refused; one sentence for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid(pub String);

#[allow(unused_variables)]
impl Configuration {
    /// Reads and checks a whole document.
    pub fn parse(document: &[u8]) -> Result<Configuration, Invalid> {
        todo!()
    }
    /// This configuration with a patch (`generation`, `upsert`, `remove`) on it, checked. Fields
    /// of the document that these pages don't know are kept.
    pub fn patched(&self, patch: &[u8]) -> Result<Configuration, Invalid> {
        todo!()
    }
    /// The whole document, JSON.
    pub fn document(&self) -> &[u8] {
        &self.document
    }
    /// Its version.
    pub fn generation(&self) -> u64 {
        self.generation
    }
    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
    /// The route of a request: longest prefix among those of the host (compared without regard
    /// to case, and without a port).
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        todo!()
    }
    /// A service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
    /// All services.
    pub fn services(&self) -> &[Service] {
        &self.services
    }
    /// Bounds on clients.
    pub fn limits(&self) -> Limits {
        self.limits
    }
}
