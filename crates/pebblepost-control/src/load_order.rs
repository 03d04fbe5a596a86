//! Load orders to transcribers: their encoding, and the requirements of the configuration on roll-outs.

use pebblepost_configuration::{Configuration, RouteKind};
use pebblepost_rollout::{LoadMode, LoadOrder};

/// Encodes the body of `POST /order`. The fencing token is the epoch in which the sender is primary. Transcribers
/// reject load orders with a lower token than they have seen.
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

/// Returns whether a route for batch jobs that serves `model` requires that each text is produced by a single version.
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
