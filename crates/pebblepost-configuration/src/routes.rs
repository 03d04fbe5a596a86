//! Routes of a document.

use crate::fields::Item;
use crate::{ConfigurationError, Route, RouteKind, Service};
use simd_json::BorrowedValue;
use std::collections::HashSet;
use std::time::Duration;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_TARGET_LATENCY: Duration = Duration::from_secs(1);
const DEFAULT_PRIORITY: u32 = 5;
const DEFAULT_MAX_ATTEMPTS: u32 = 1;
const DEFAULT_RUN_DEADLINE: Duration = Duration::from_secs(60);
const DEFAULT_QUEUE_TTL: Duration = Duration::from_secs(3600);
const DEFAULT_WEIGHT: f64 = 1.0;
/// Fractions of weights are kept to this part.
const WEIGHT_STEPS: f64 = 1000.0;
const LARGEST_WEIGHT: f64 = 1e12;

/// All routes, each checked by itself and against the services; names checked.
pub(crate) fn read_all(
    document: &BorrowedValue<'_>, services: &[Service],
) -> Result<Vec<Route>, ConfigurationError> {
    let document = Item::new(document, "the document")?;
    let values = document.list("routes")?.ok_or_else(|| document.missing("routes"))?;
    let services: HashSet<&str> = services.iter().map(|service| service.name.as_str()).collect();
    let mut names = HashSet::new();
    let mut routes = Vec::with_capacity(values.len());
    for (index, value) in values.iter().enumerate() {
        let route = read(value, index, &services)?;
        if !names.insert(route.name.clone()) {
            return Err(ConfigurationError(format!("two routes have the name '{}'", route.name)));
        }
        routes.push(route);
    }
    Ok(routes)
}

fn read(
    value: &BorrowedValue<'_>, index: usize, services: &HashSet<&str>,
) -> Result<Route, ConfigurationError> {
    let mut item = Item::new(value, format_args!("route {index}"))?;
    let name = item.required_text("name")?;
    item.relabel(format_args!("route '{name}'"));
    Ok(Route {
        name: name.to_owned(),
        hostname: item.required_text("hostname")?.to_owned(),
        path_prefix: read_prefix(&item)?,
        kind: kind_of(item.required_text("kind")?),
        streaming: item.flag("streaming")?,
        resumable: item.flag("resumable")?,
        sticky: item.flag("sticky")?,
        timeout: read_timeout(&item)?,
        target_latency: item.milliseconds("target_latency_ms")?.unwrap_or(DEFAULT_TARGET_LATENCY),
        priority: item.count("priority")?.unwrap_or(DEFAULT_PRIORITY),
        backends: read_backends(&item, services)?,
        max_attempts: item.count("max_attempts")?.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1),
        run_deadline: item.milliseconds("run_deadline_ms")?.unwrap_or(DEFAULT_RUN_DEADLINE),
        queue_ttl: item.seconds("queue_ttl_s")?.unwrap_or(DEFAULT_QUEUE_TTL),
        single_version: item.flag("single_version")?,
    })
}

/// A kind that is not known is handled with most care.
fn kind_of(kind: &str) -> RouteKind {
    match kind {
        "idempotent" => RouteKind::Idempotent,
        "rollout" => RouteKind::Rollout,
        _ => RouteKind::NonIdempotent,
    }
}

fn read_prefix(item: &Item<'_, '_>) -> Result<String, ConfigurationError> {
    let prefix = item.required_text("path_prefix")?;
    if prefix.starts_with('/') && prefix.ends_with('/') {
        Ok(prefix.to_owned())
    } else {
        Err(item.invalid("path_prefix", "must begin and end with a slash"))
    }
}

fn read_timeout(item: &Item<'_, '_>) -> Result<Duration, ConfigurationError> {
    let timeout = item.milliseconds("timeout_ms")?.unwrap_or(DEFAULT_TIMEOUT);
    if timeout.is_zero() { Err(item.invalid("timeout_ms", "must be above 0")) } else { Ok(timeout) }
}

fn read_backends(
    item: &Item<'_, '_>, services: &HashSet<&str>,
) -> Result<Vec<(String, u64)>, ConfigurationError> {
    let single = item.text("backend")?;
    if let Some(backend) = single {
        check_service(item, "backend", backend, services)?;
    }
    let split = read_split(item, services)?;
    match (split, single) {
        (Some(split), _) if !split.is_empty() => Ok(split),
        (_, Some(backend)) => Ok(vec![(backend.to_owned(), 1)]),
        (Some(_), None) => Err(item.invalid("traffic_split", "names no service")),
        (None, None) => Err(item.missing("backend")),
    }
}

fn read_split(
    item: &Item<'_, '_>, services: &HashSet<&str>,
) -> Result<Option<Vec<(String, u64)>>, ConfigurationError> {
    let Some(parts) = item.list("traffic_split")? else { return Ok(None) };
    let mut weights = Vec::with_capacity(parts.len());
    for part in parts {
        let part = Item::new(part, "a part of `traffic_split`")?;
        let backend = part.required_text("backend")?;
        check_service(item, "traffic_split", backend, services)?;
        weights.push((backend, part.number("weight")?.unwrap_or(DEFAULT_WEIGHT)));
    }
    if !weights.is_empty() && weights.iter().all(|(_, weight)| *weight == 0.0) {
        return Err(item.invalid("traffic_split", "has weights that sum to 0"));
    }
    Ok(Some(whole_weights(&weights)))
}

/// Weights as whole numbers: as they are, or in steps if any is a fraction.
fn whole_weights(weights: &[(&str, f64)]) -> Vec<(String, u64)> {
    let fractions = weights.iter().any(|(_, weight)| weight.fract() != 0.0);
    let steps = if fractions { WEIGHT_STEPS } else { 1.0 };
    let whole = |weight: f64| (weight * steps).ceil().min(LARGEST_WEIGHT) as u64;
    weights.iter().map(|(backend, weight)| ((*backend).to_owned(), whole(*weight))).collect()
}

fn check_service(
    item: &Item<'_, '_>, field: &str, backend: &str, services: &HashSet<&str>,
) -> Result<(), ConfigurationError> {
    if services.contains(backend) {
        Ok(())
    } else {
        Err(item.invalid(field, format_args!("names the unknown service '{backend}'")))
    }
}
