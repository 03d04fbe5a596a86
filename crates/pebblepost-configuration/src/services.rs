//! Services and limits of a document.

use crate::fields::Item;
use crate::{ConfigurationError, Limits, Service};
use simd_json::BorrowedValue;
use simd_json::prelude::*;
use std::collections::HashSet;
use std::time::Duration;

const DEFAULT_HEALTH_PATH: &str = "/healthz";
const DEFAULT_MAX_CONNS: u32 = 100;
const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 16 * 1024,
    max_body_bytes: 32 * 1024 * 1024,
    header_timeout: Duration::from_millis(3000),
    idle_timeout: Duration::from_millis(15_000),
};

/// All services, with their names checked.
pub(crate) fn read_all(document: &BorrowedValue<'_>) -> Result<Vec<Service>, ConfigurationError> {
    let document = Item::new(document, "the document")?;
    let values = document.list("services")?.ok_or_else(|| document.missing("services"))?;
    let mut names = HashSet::new();
    let mut services = Vec::with_capacity(values.len());
    for (index, value) in values.iter().enumerate() {
        let service = read(value, index)?;
        if !names.insert(service.name.clone()) {
            return Err(ConfigurationError(format!("two services have the name '{}'", service.name)));
        }
        services.push(service);
    }
    Ok(services)
}

fn read(value: &BorrowedValue<'_>, index: usize) -> Result<Service, ConfigurationError> {
    let mut item = Item::new(value, format_args!("service {index}"))?;
    let name = item.required_text("name")?;
    item.relabel(format_args!("service '{name}'"));
    let engine =
        item.get("engine").map(|value| Item::new(value, format_args!("engine of '{name}'"))).transpose()?;
    let (models, engine_slots) = match &engine {
        Some(engine) => (read_models(engine)?, engine.count("slots")?),
        None => (Vec::new(), None),
    };
    Ok(Service {
        name: name.to_owned(),
        health_path: item.text("health_path")?.unwrap_or(DEFAULT_HEALTH_PATH).to_owned(),
        max_conns: item.count("max_conns")?.unwrap_or(DEFAULT_MAX_CONNS),
        models,
        engine_slots,
    })
}

fn read_models(engine: &Item<'_, '_>) -> Result<Vec<String>, ConfigurationError> {
    let mut models = Vec::new();
    for value in engine.list("models")?.unwrap_or_default() {
        let model = match value.as_str() {
            Some(name) => name,
            None => Item::new(value, "a model")?.required_text("name")?,
        };
        models.push(model.to_owned());
    }
    Ok(models)
}

/// Bounds on clients; those that are not named have defaults.
pub(crate) fn read_limits(document: &BorrowedValue<'_>) -> Result<Limits, ConfigurationError> {
    let document = Item::new(document, "the document")?;
    let Some(value) = document.get("limits") else { return Ok(DEFAULT_LIMITS) };
    let limits = Item::new(value, "limits")?;
    Ok(Limits {
        max_header_bytes: bytes(&limits, "max_header_bytes", DEFAULT_LIMITS.max_header_bytes)?,
        max_body_bytes: bytes(&limits, "max_body_bytes", DEFAULT_LIMITS.max_body_bytes)?,
        header_timeout: limits.milliseconds("header_timeout_ms")?.unwrap_or(DEFAULT_LIMITS.header_timeout),
        idle_timeout: limits.milliseconds("idle_timeout_ms")?.unwrap_or(DEFAULT_LIMITS.idle_timeout),
    })
}

fn bytes(limits: &Item<'_, '_>, field: &str, default: usize) -> Result<usize, ConfigurationError> {
    Ok(limits.number(field)?.map_or(default, |number| number as usize))
}
