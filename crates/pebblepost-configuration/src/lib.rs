//! The operator's configuration: checks, patches, routing table.
//!
//! Documents are read and checked as `simd-json` values. Fields that are not known are kept and ignored.

mod document;
mod fields;
mod patch;
mod routes;
mod services;
mod table;

pub use document::is_same_document;

use simd_json::BorrowedValue;
use std::fmt;
use std::time::Duration;
use table::RoutingTable;

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
///
/// Absent fields read as: `timeout` 30 s, `target_latency` 1 s, `priority` 5, `max_attempts` 1, `run_deadline`
/// 60 s, `queue_ttl` 1 h, flags false.
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

/// A service. Absent fields read as: `health_path` `/healthz`, `max_conns` 100.
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
    table: RoutingTable,
}

/// Why a document was rejected: one sentence for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationError(pub String);

impl fmt::Display for ConfigurationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for ConfigurationError {}

impl Configuration {
    /// Reads and checks a whole document.
    pub fn parse(document: &[u8]) -> Result<Configuration, ConfigurationError> {
        let mut buffer = document::buffer_of(document)?;
        let value = document::read(&mut buffer)?;
        Configuration::checked(&value, document.to_vec())
    }

    /// This configuration with a patch (`generation`, `upsert`, `remove`) on it, checked. Fields of the document
    /// that these pages don't know are kept.
    pub fn patched(&self, patch: &[u8]) -> Result<Configuration, ConfigurationError> {
        let mut document_buffer = document::buffer_of(&self.document)?;
        let mut patch_buffer = document::buffer_of(patch)?;
        let mut value = document::read(&mut document_buffer)?;
        let patch = document::read(&mut patch_buffer)?;
        let generation = fields::generation(&patch)?;
        if generation <= self.generation {
            let current = self.generation;
            return Err(ConfigurationError(format!(
                "generation {generation} is not above the current {current}"
            )));
        }
        patch::apply(&mut value, patch)?;
        let document = document::write(&value);
        Configuration::checked(&value, document)
    }

    fn checked(value: &BorrowedValue<'_>, document: Vec<u8>) -> Result<Configuration, ConfigurationError> {
        let generation = fields::generation(value)?;
        let services = services::read_all(value)?;
        let routes = routes::read_all(value, &services)?;
        let limits = services::read_limits(value)?;
        let table = RoutingTable::new(&routes)?;
        Ok(Configuration { document, generation, routes, services, limits, table })
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

    /// The route of a request: longest prefix among those of the host (compared without regard to case, and
    /// without a port). A query in `path` is left out of account.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.table.find(host, path).and_then(|index| self.routes.get(index))
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
