//! A validated configuration: the document of one generation and the values derived from it.

use crate::routing_table::RoutingTable;
use crate::{ConfigurationError, Limits, Route, Service, json, parse, patch};
use simd_json::BorrowedValue;

/// A configuration that has passed validation.
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
    /// Returns the first error found. The checks run in this order: size and nesting, JSON, generation, services,
    /// routes, limits, ambiguous routes.
    pub fn parse(document: &[u8]) -> Result<Configuration, ConfigurationError> {
        let mut buffer = json::parse_buffer(document)?;
        let value = json::parse_object(&mut buffer)?;
        Configuration::validate(&value, document.to_vec())
    }

    /// Applies a patch (`generation`, `upsert`, `remove`) to the document and validates the result.
    ///
    /// Unknown fields of the document are kept. `self` is unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the patch is not valid JSON or not of the expected form, if its generation is not above the current
    /// one, or if the patched document is invalid or exceeds the limits of a document.
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
        json::check_limits(&document)?;
        Configuration::validate(&value, document)
    }

    /// Returns the full JSON document.
    pub fn document(&self) -> &[u8] {
        &self.document
    }

    /// Returns the generation of the document.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns all routes, in the order of the document.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the route that matches a request: of the routes of the host, the one with the longest matching prefix.
    ///
    /// The comparison of hosts ignores case and port. A query in `path` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routing_table.find(host, path).and_then(|index| self.routes.get(index))
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns all services, in the order of the document.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the limits on client requests.
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
