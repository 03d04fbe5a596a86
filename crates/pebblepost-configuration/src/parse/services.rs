//! The `services` of a document.

use super::DOCUMENT;
use super::object_reader::ObjectReader;
use crate::{ConfigurationError, Service};
use simd_json::BorrowedValue;
use simd_json::prelude::*;
use std::collections::HashSet;

const DEFAULT_HEALTH_PATH: &str = "/healthz";
const DEFAULT_MAX_CONNS: u32 = 100;

/// Parses all services, in the order of the document.
pub(crate) fn parse_all(document: &BorrowedValue<'_>) -> Result<Vec<Service>, ConfigurationError> {
    let document = ObjectReader::new(document, DOCUMENT)?;
    let values = document.list("services")?.ok_or_else(|| document.missing("services"))?;
    let mut names = HashSet::new();
    let mut services = Vec::with_capacity(values.len());
    for (index, value) in values.iter().enumerate() {
        let service = parse_service(value, index)?;
        if !names.insert(service.name.clone()) {
            return Err(ConfigurationError::DuplicateService { name: service.name });
        }
        services.push(service);
    }
    Ok(services)
}

fn parse_service(value: &BorrowedValue<'_>, index: usize) -> Result<Service, ConfigurationError> {
    let mut service = ObjectReader::new(value, format_args!("service {index}"))?;
    let name = service.required_string("name")?;
    service.relabel(format_args!("service '{name}'"));
    let engine = service
        .get("engine")
        .map(|value| ObjectReader::new(value, format_args!("engine of '{name}'")))
        .transpose()?;
    let (models, engine_slots) = match &engine {
        Some(engine) => (parse_models(engine)?, engine.count("slots")?),
        None => (Vec::new(), None),
    };
    Ok(Service {
        name: name.to_owned(),
        health_path: service.string("health_path")?.unwrap_or(DEFAULT_HEALTH_PATH).to_owned(),
        max_conns: service.count("max_conns")?.unwrap_or(DEFAULT_MAX_CONNS),
        models,
        engine_slots,
    })
}

/// Parses the names of the models. Each entry is a string, or an object with a `name`.
fn parse_models(engine: &ObjectReader<'_, '_>) -> Result<Vec<String>, ConfigurationError> {
    let mut models = Vec::new();
    for value in engine.list("models")?.unwrap_or_default() {
        let model = match value.as_str() {
            Some(name) => name,
            None => ObjectReader::new(value, "a model")?.required_string("name")?,
        };
        models.push(model.to_owned());
    }
    Ok(models)
}
