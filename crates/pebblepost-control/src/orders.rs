//! Orders to transcribers: their bodies, and what the configuration says of a model.

use pebblepost_configuration::{Configuration, RouteKind};
use pebblepost_rollout::{LoadMode, Order};

/// Body of `POST /order`. The fence token is the epoch in which the sender is primary.
pub fn body(order: &Order, holder: &str, fence_token: u64) -> Vec<u8> {
    let mode = match order.mode {
        LoadMode::Wait => "wait",
        LoadMode::Truncate => "truncate",
        LoadMode::Retain => "retain",
    };
    let value = simd_json::json!({
        "op": "generation",
        "model": order.model.as_str(),
        "generation": order.generation,
        "mode": mode,
        "holder": holder,
        "fence_token": fence_token,
    });
    simd_json::to_string(&value).unwrap_or_default().into_bytes()
}

/// Whether some route of batch jobs wants each text of a model made under a single version.
pub fn needs_single_version(configuration: &Configuration, model: &str) -> bool {
    let holds = |backend: &str| {
        configuration.service(backend).is_some_and(|service| service.models.iter().any(|held| held == model))
    };
    configuration.routes().iter().any(|route| {
        route.kind == RouteKind::Rollout
            && route.single_version
            && route.backends.iter().any(|(backend, _)| holds(backend))
    })
}
