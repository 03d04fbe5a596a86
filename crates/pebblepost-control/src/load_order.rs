//! Load orders to transcribers: their body, and what the configuration requires of a model.

use pebblepost_configuration::{Configuration, RouteKind};
use pebblepost_rollout::{LoadMode, LoadOrder};

/// Body of `POST /order`. The fencing token is the epoch in which the sender is primary: transcribers reject orders
/// with a lower one than they have seen.
pub fn encode_body(order: &LoadOrder, holder: &str, fencing_token: u64) -> Vec<u8> {
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
        "fence_token": fencing_token,
    });
    simd_json::to_string(&value).unwrap_or_default().into_bytes()
}

/// Whether a batch route requires that each text of a model is produced by a single version.
pub fn requires_single_version(configuration: &Configuration, model: &str) -> bool {
    let serves_model = |backend: &str| {
        let service = configuration.service(backend);
        service.is_some_and(|service| service.models.iter().any(|served| served == model))
    };
    configuration.routes().iter().any(|route| {
        route.kind == RouteKind::Rollout
            && route.single_version
            && route.backends.iter().any(|(backend, _)| serves_model(backend))
    })
}
