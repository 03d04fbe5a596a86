//! Announcements of transcribers, `PUT /instances/ID`.

use pebblepost_messages::feed::{Instance, InstanceState, ModelVersion};
use simd_json::BorrowedValue;
use simd_json::prelude::{
    ValueAsScalar, ValueObjectAccess, ValueObjectAccessAsArray, ValueObjectAccessAsScalar,
};
use std::net::SocketAddr;

/// Longest id, name or address that is taken.
const MOST_NAME_BYTES: usize = 256;
/// Most models of one transcriber.
const MOST_MODELS: usize = 256;

/// Reads the body of an announcement. The error is one sentence for the caller.
pub fn parse(id: &str, body: &[u8]) -> Result<Instance, String> {
    let mut bytes = body.to_vec();
    let value = simd_json::to_borrowed_value(&mut bytes).map_err(|error| format!("not JSON: {error}"))?;
    if id.is_empty() || id.len() > MOST_NAME_BYTES {
        return Err("the id is empty or too long".into());
    }
    let address = name(&value, "address")?;
    address.parse::<SocketAddr>().map_err(|_| format!("address: {address} is not ip:port"))?;
    Ok(Instance {
        id: id.into(),
        backend: name(&value, "backend")?,
        address,
        zone: name(&value, "zone").unwrap_or_default(),
        slots: number(&value, "slots").unwrap_or(1).try_into().unwrap_or(u32::MAX),
        state: state(&value)?,
        warm_up_remaining_ms: number(&value, "cold_remaining_ms").unwrap_or(0).try_into().unwrap_or(u32::MAX),
        models: models(&value)?,
        sequence: number(&value, "sequence").unwrap_or(0),
    })
}

fn name(value: &BorrowedValue<'_>, key: &str) -> Result<String, String> {
    let text = value.get_str(key).ok_or_else(|| format!("{key}: missing or not a text"))?;
    if text.len() > MOST_NAME_BYTES {
        return Err(format!("{key}: too long"));
    }
    Ok(text.into())
}

fn number(value: &BorrowedValue<'_>, key: &str) -> Option<u64> {
    let number = value.get(key)?;
    number.as_u64().or_else(|| number.as_f64().map(|fraction| fraction.max(0.0) as u64))
}

fn state(value: &BorrowedValue<'_>) -> Result<InstanceState, String> {
    match value.get_str("state") {
        Some("ready") | None => Ok(InstanceState::Ready),
        Some("draining") => Ok(InstanceState::Draining),
        Some(other) => Err(format!("state: {other} is neither ready nor draining")),
    }
}

fn models(value: &BorrowedValue<'_>) -> Result<Vec<ModelVersion>, String> {
    let Some(listed) = value.get_array("models") else { return Ok(Vec::new()) };
    if listed.len() > MOST_MODELS {
        return Err("models: too many".into());
    }
    let model = |entry: &BorrowedValue<'_>| {
        Ok(ModelVersion { model: name(entry, "name")?, generation: number(entry, "generation").unwrap_or(1) })
    };
    listed.iter().map(model).collect()
}
