//! The `limits` of a document.

use super::DOCUMENT;
use super::object_reader::ObjectReader;
use crate::{ConfigurationError, Limits};
use simd_json::BorrowedValue;
use std::time::Duration;

const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 16 * 1024,
    max_body_bytes: 32 * 1024 * 1024,
    header_timeout: Duration::from_millis(3000),
    idle_timeout: Duration::from_millis(15_000),
};

/// Parses the limits. Absent limits get their defaults.
pub(crate) fn parse(document: &BorrowedValue<'_>) -> Result<Limits, ConfigurationError> {
    let document = ObjectReader::new(document, DOCUMENT)?;
    let Some(value) = document.get("limits") else { return Ok(DEFAULT_LIMITS) };
    let limits = ObjectReader::new(value, "limits")?;
    Ok(Limits {
        max_header_bytes: parse_bytes(&limits, "max_header_bytes", DEFAULT_LIMITS.max_header_bytes)?,
        max_body_bytes: parse_bytes(&limits, "max_body_bytes", DEFAULT_LIMITS.max_body_bytes)?,
        header_timeout: limits.milliseconds("header_timeout_ms")?.unwrap_or(DEFAULT_LIMITS.header_timeout),
        idle_timeout: limits.milliseconds("idle_timeout_ms")?.unwrap_or(DEFAULT_LIMITS.idle_timeout),
    })
}

fn parse_bytes(
    limits: &ObjectReader<'_, '_>, field: &str, default: usize,
) -> Result<usize, ConfigurationError> {
    Ok(limits.number(field)?.map_or(default, |number| number as usize))
}
