//! Parsing and validation of each section of a document.

pub(crate) mod limits;
mod object_reader;
pub(crate) mod routes;
pub(crate) mod services;

use crate::{ConfigurationError, FieldError};
use object_reader::{ObjectReader, to_integer};
use simd_json::BorrowedValue;
use simd_json::prelude::*;

/// Name of the whole document, or of a patch, in error texts.
const DOCUMENT: &str = "the document";

/// Reads the generation of a document or patch.
pub(crate) fn generation(document: &BorrowedValue<'_>) -> Result<u64, ConfigurationError> {
    const FIELD: &str = "generation";
    let reader = ObjectReader::new(document, DOCUMENT)?;
    if let Some(generation) = reader.get(FIELD).and_then(|value| value.as_u64()) {
        return Ok(generation);
    }
    let number = reader.number(FIELD)?.ok_or_else(|| reader.missing(FIELD))?;
    to_integer(number).ok_or_else(|| reader.invalid(FIELD, FieldError::NotAnInteger))
}
