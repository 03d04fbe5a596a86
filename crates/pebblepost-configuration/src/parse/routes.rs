//! The `routes` of a document.

use super::DOCUMENT;
use super::object_reader::ObjectReader;
use crate::{ConfigurationError, FieldError, Route, RouteKind, Service};
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
/// Weight of the backend of a route without a traffic split.
const SINGLE_BACKEND_WEIGHT: u64 = 1;
/// Factor by which weights are multiplied before they are rounded up, if any of them has a fraction.
const WEIGHT_SCALE: f64 = 1000.0;
/// Upper bound on a weight, after it was scaled.
const MAX_WEIGHT: f64 = 1e12;

/// Parses all routes, in the order of the document. Each one is validated by itself and against the services.
pub(crate) fn parse_all(
    document: &BorrowedValue<'_>, services: &[Service],
) -> Result<Vec<Route>, ConfigurationError> {
    let document = ObjectReader::new(document, DOCUMENT)?;
    let values = document.list("routes")?.ok_or_else(|| document.missing("routes"))?;
    let services: HashSet<&str> = services.iter().map(|service| service.name.as_str()).collect();
    let mut names = HashSet::new();
    let mut routes = Vec::with_capacity(values.len());
    for (index, value) in values.iter().enumerate() {
        let route = parse_route(value, index, &services)?;
        if !names.insert(route.name.clone()) {
            return Err(ConfigurationError::DuplicateRoute { name: route.name });
        }
        routes.push(route);
    }
    Ok(routes)
}

fn parse_route(
    value: &BorrowedValue<'_>, index: usize, services: &HashSet<&str>,
) -> Result<Route, ConfigurationError> {
    let mut route = ObjectReader::new(value, format_args!("route {index}"))?;
    let name = route.required_string("name")?;
    route.relabel(format_args!("route '{name}'"));
    Ok(Route {
        name: name.to_owned(),
        hostname: route.required_string("hostname")?.to_owned(),
        path_prefix: parse_path_prefix(&route)?,
        kind: parse_kind(route.required_string("kind")?),
        streaming: route.flag("streaming")?,
        resumable: route.flag("resumable")?,
        sticky: route.flag("sticky")?,
        timeout: parse_timeout(&route)?,
        target_latency: route.milliseconds("target_latency_ms")?.unwrap_or(DEFAULT_TARGET_LATENCY),
        priority: route.count("priority")?.unwrap_or(DEFAULT_PRIORITY),
        backends: parse_backends(&route, services)?,
        max_attempts: route.count("max_attempts")?.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1),
        run_deadline: route.milliseconds("run_deadline_ms")?.unwrap_or(DEFAULT_RUN_DEADLINE),
        queue_ttl: route.seconds("queue_ttl_s")?.unwrap_or(DEFAULT_QUEUE_TTL),
        single_version: route.flag("single_version")?,
    })
}

/// Parses the kind of a route. An unknown kind is treated as the strictest one, non-idempotent.
fn parse_kind(kind: &str) -> RouteKind {
    match kind {
        "idempotent" => RouteKind::Idempotent,
        "rollout" => RouteKind::Rollout,
        _ => RouteKind::NonIdempotent,
    }
}

fn parse_path_prefix(route: &ObjectReader<'_, '_>) -> Result<String, ConfigurationError> {
    let prefix = route.required_string("path_prefix")?;
    if prefix.starts_with('/') && prefix.ends_with('/') {
        Ok(prefix.to_owned())
    } else {
        Err(route.invalid("path_prefix", FieldError::MissingSlash))
    }
}

fn parse_timeout(route: &ObjectReader<'_, '_>) -> Result<Duration, ConfigurationError> {
    let timeout = route.milliseconds("timeout_ms")?.unwrap_or(DEFAULT_TIMEOUT);
    if timeout.is_zero() { Err(route.invalid("timeout_ms", FieldError::Zero)) } else { Ok(timeout) }
}

/// Parses the backends of a route: `traffic_split` if it has entries, and otherwise the single `backend`.
fn parse_backends(
    route: &ObjectReader<'_, '_>, services: &HashSet<&str>,
) -> Result<Vec<(String, u64)>, ConfigurationError> {
    let single = route.string("backend")?;
    if let Some(backend) = single {
        check_service(route, "backend", backend, services)?;
    }
    let split = parse_traffic_split(route, services)?;
    match (split, single) {
        (Some(split), _) if !split.is_empty() => Ok(split),
        (_, Some(backend)) => Ok(vec![(backend.to_owned(), SINGLE_BACKEND_WEIGHT)]),
        (Some(_), None) => Err(route.invalid("traffic_split", FieldError::NoBackend)),
        (None, None) => Err(route.missing("backend")),
    }
}

fn parse_traffic_split(
    route: &ObjectReader<'_, '_>, services: &HashSet<&str>,
) -> Result<Option<Vec<(String, u64)>>, ConfigurationError> {
    const FIELD: &str = "traffic_split";
    let Some(entries) = route.list(FIELD)? else { return Ok(None) };
    let mut weights = Vec::with_capacity(entries.len());
    for entry in entries {
        let entry = ObjectReader::new(entry, "an entry of `traffic_split`")?;
        let backend = entry.required_string("backend")?;
        check_service(route, FIELD, backend, services)?;
        weights.push((backend, entry.number("weight")?.unwrap_or(DEFAULT_WEIGHT)));
    }
    if !weights.is_empty() && weights.iter().all(|(_, weight)| *weight == 0.0) {
        return Err(route.invalid(FIELD, FieldError::ZeroWeights));
    }
    Ok(Some(integer_weights(&weights)))
}

/// Converts weights to integers. If any of them has a fraction, all are scaled and rounded up.
fn integer_weights(weights: &[(&str, f64)]) -> Vec<(String, u64)> {
    let has_fraction = weights.iter().any(|(_, weight)| weight.fract() != 0.0);
    let scale = if has_fraction { WEIGHT_SCALE } else { 1.0 };
    let to_integer = |weight: f64| (weight * scale).ceil().min(MAX_WEIGHT) as u64;
    weights.iter().map(|(backend, weight)| ((*backend).to_owned(), to_integer(*weight))).collect()
}

fn check_service(
    route: &ObjectReader<'_, '_>, field: &str, backend: &str, services: &HashSet<&str>,
) -> Result<(), ConfigurationError> {
    if services.contains(backend) {
        Ok(())
    } else {
        Err(route.invalid(field, FieldError::UnknownService(backend.to_owned())))
    }
}
