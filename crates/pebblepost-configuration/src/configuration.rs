//! A validated configuration: the document of one generation and what is derived from it.

use crate::routing_table::RoutingTable;
use crate::{ConfigurationError, Limits, Route, Service, json, parse, patch};
use simd_json::BorrowedValue;

/// A configuration that passed validation.
#[derive(Clone, Debug)]
pub struct Configuration {
    document: Vec<u8>,
    generation: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Limits,
    routing_table: RoutingTable,
}

impl Configuration {
    /// Parses and validates a full document.
    ///
    /// # Errors
    ///
    /// The first fault found, in the order size, JSON, generation, services, routes, limits, ambiguous routes.
    pub fn parse(document: &[u8]) -> Result<Configuration, ConfigurationError> {
        let mut buffer = json::parse_buffer(document)?;
        let value = json::parse_object(&mut buffer)?;
        Configuration::validate(&value, document.to_vec())
    }

    /// Applies a patch (`generation`, `upsert`, `remove`) to this configuration and validates the result. Unknown
    /// fields of the document are kept.
    ///
    /// # Errors
    ///
    /// The patch is not valid JSON or has another shape, its generation is not above the current one, or the
    /// patched document is not valid.
    pub fn patched(&self, patch: &[u8]) -> Result<Configuration, ConfigurationError> {
        let mut document_buffer = json::parse_buffer(&self.document)?;
        let mut patch_buffer = json::parse_buffer(patch)?;
        let mut value = json::parse_object(&mut document_buffer)?;
        let patch = json::parse_object(&mut patch_buffer)?;
        let generation = parse::generation(&patch)?;
        if generation <= self.generation {
            return Err(ConfigurationError::StaleGeneration { generation, current: self.generation });
        }
        patch::apply(&mut value, patch)?;
        let document = json::serialize(&value);
        Configuration::validate(&value, document)
    }

    /// The full document, JSON.
    pub fn document(&self) -> &[u8] {
        &self.document
    }

    /// Version of the document.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// All routes, in the order of the document.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The route that matches a request: the longest prefix among the routes of the host. The host is compared
    /// without regard to case or port, and a query in `path` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routing_table.find(host, path).and_then(|index| self.routes.get(index))
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// All services, in the order of the document.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Limits on the requests of clients.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    fn validate(value: &BorrowedValue<'_>, document: Vec<u8>) -> Result<Configuration, ConfigurationError> {
        let generation = parse::generation(value)?;
        let services = parse::services::parse_all(value)?;
        let routes = parse::routes::parse_all(value, &services)?;
        let limits = parse::limits::parse(value)?;
        let routing_table = RoutingTable::new(&routes)?;
        Ok(Configuration { document, generation, routes, services, limits, routing_table })
    }
}
