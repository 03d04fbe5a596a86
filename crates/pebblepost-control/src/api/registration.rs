//! Body of `PUT /instances/ID`, with which an instance of a transcriber registers and sends heartbeats.

use pebblepost_configuration::{MAX_NESTING_LEVELS, is_nested_too_deeply};
use pebblepost_messages::feed::{Instance, InstanceState, ModelVersion};
use simd_json::BorrowedValue;
use simd_json::prelude::{
    ValueAsScalar, ValueObjectAccess, ValueObjectAccessAsArray, ValueObjectAccessAsScalar,
};
use std::net::SocketAddr;
use thiserror::Error;

/// Limit on the length of an identity, name or address, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Limit on the models of one instance.
const MAX_MODELS: usize = 256;

/// Reason why a registration is rejected. The message is sent to the transcriber.
#[derive(Debug, PartialEq, Error)]
pub enum RegistrationError {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] simd_json::Error),
    /// The body is nested so deeply that parsing it could overflow the stack.
    #[error("more than {MAX_NESTING_LEVELS} levels of nesting")]
    NestedTooDeeply,
    /// The identity in the path is empty or too long.
    #[error("the id is empty or longer than {} bytes", MAX_NAME_BYTES)]
    InvalidId,
    /// A required field is absent or not a string.
    #[error("{field}: missing or not a text")]
    NotAString {
        /// Name of the field.
        field: &'static str,
    },
    /// A field exceeds the length limit.
    #[error("{field}: longer than {} bytes", MAX_NAME_BYTES)]
    TooLong {
        /// Name of the field.
        field: &'static str,
    },
    /// The address is not an IP address with a port.
    #[error("address: {address} is not ip:port")]
    InvalidAddress {
        /// The value received.
        address: String,
    },
    /// The state is not a known one.
    #[error("state: {state} is neither ready nor draining")]
    UnknownState {
        /// The value received.
        state: String,
    },
    /// The list of models is longer than its limit.
    #[error("models: more than {} entries", MAX_MODELS)]
    TooManyModels,
}

/// Parses the body of a registration of the instance `id`.
///
/// # Errors
/// If the body is nested too deeply or not JSON, or a field is missing, too long or invalid.
pub fn parse(id: &str, body: &[u8]) -> Result<Instance, RegistrationError> {
    if is_nested_too_deeply(body) {
        return Err(RegistrationError::NestedTooDeeply);
    }
    let mut bytes = body.to_vec();
    let value = simd_json::to_borrowed_value(&mut bytes)?;
    if id.is_empty() || id.len() > MAX_NAME_BYTES {
        return Err(RegistrationError::InvalidId);
    }
    let address = name(&value, "address")?;
    if address.parse::<SocketAddr>().is_err() {
        return Err(RegistrationError::InvalidAddress { address });
    }
    Ok(Instance {
        id: id.into(),
        backend: name(&value, "backend")?,
        address,
        zone: name(&value, "zone").unwrap_or_default(),
        slots: number(&value, "slots").unwrap_or(1).try_into().unwrap_or(u32::MAX),
        state: state(&value)?,
        slow_start_remaining_ms: number(&value, "cold_remaining_ms")
            .unwrap_or(0)
            .try_into()
            .unwrap_or(u32::MAX),
        models: models(&value)?,
        sequence: number(&value, "sequence").unwrap_or(0),
    })
}

fn name(value: &BorrowedValue<'_>, field: &'static str) -> Result<String, RegistrationError> {
    let text = value.get_str(field).ok_or(RegistrationError::NotAString { field })?;
    if text.len() > MAX_NAME_BYTES {
        return Err(RegistrationError::TooLong { field });
    }
    Ok(text.into())
}

/// Returns a number field as a non-negative integer. Fractions are truncated.
fn number(value: &BorrowedValue<'_>, field: &str) -> Option<u64> {
    let number = value.get(field)?;
    number.as_u64().or_else(|| number.as_f64().map(|fraction| fraction.max(0.0) as u64))
}

fn state(value: &BorrowedValue<'_>) -> Result<InstanceState, RegistrationError> {
    match value.get_str("state") {
        Some("ready") | None => Ok(InstanceState::Ready),
        Some("draining") => Ok(InstanceState::Draining),
        Some(other) => Err(RegistrationError::UnknownState { state: other.into() }),
    }
}

fn models(value: &BorrowedValue<'_>) -> Result<Vec<ModelVersion>, RegistrationError> {
    let Some(listed) = value.get_array("models") else { return Ok(Vec::new()) };
    if listed.len() > MAX_MODELS {
        return Err(RegistrationError::TooManyModels);
    }
    let model = |entry: &BorrowedValue<'_>| {
        Ok(ModelVersion { model: name(entry, "name")?, generation: number(entry, "generation").unwrap_or(1) })
    };
    listed.iter().map(model).collect()
}
