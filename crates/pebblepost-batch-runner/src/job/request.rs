//! Parses the JSON body of a submitted batch job.
//!
//! Only the format of the job is checked. The store decides whether to accept the job.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use pebblepost_configuration::{MAX_NESTING_LEVELS, is_nested_too_deeply};
use pebblepost_messages::batch::{Item, Job, JobTerms, Scorer};
use simd_json::prelude::{ValueAsArray, ValueAsObject, ValueAsScalar, ValueObjectAccess};
use simd_json::{BorrowedValue, StaticNode};
use std::collections::HashSet;
use thiserror::Error;

/// Reason why a body is not a valid batch job. The text is sent to the client.
#[derive(Debug, Error)]
pub enum JobError {
    /// The body is not valid JSON.
    #[error("request body is not valid JSON: {0}")]
    NotJson(#[from] simd_json::Error),
    /// The body is nested so deeply that parsing it could overflow the stack.
    #[error("request body has more than {MAX_NESTING_LEVELS} levels of nesting")]
    NestedTooDeeply,
    /// The body is JSON, but not an object.
    #[error("request body is not a JSON object")]
    NotAnObject,
    /// The list of items is missing or not an array.
    #[error("`requests` is missing or not an array")]
    RequestsNotAnArray,
    /// A field of the job is invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// An item is invalid.
    #[error("item {position}: {cause}")]
    Item {
        /// Index of the item in the list, from 0.
        position: usize,
        /// Reason why the item is invalid.
        cause: ItemError,
    },
}

/// Reason why an item of a job is invalid.
#[derive(Debug, Error)]
pub enum ItemError {
    /// A field of the item is invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// A field of the item's scorer is invalid.
    #[error("scorer: {0}")]
    Scorer(FieldError),
    /// Another item of the job has the same id.
    #[error("`id` is already used by another item of the job")]
    DuplicateId,
}

/// Reason why a field is invalid.
#[derive(Debug, Error)]
pub enum FieldError {
    /// A required string is missing or empty.
    #[error("`{0}` is missing or empty")]
    Missing(&'static str),
    /// The field is not a string.
    #[error("`{0}` is not a string")]
    NotAString(&'static str),
    /// The field is not an unsigned integer.
    #[error("`{0}` is not an unsigned integer")]
    NotAnUnsignedInteger(&'static str),
    /// The field is not valid base64.
    #[error("`{0}` is not valid base64")]
    NotBase64(&'static str),
    /// `path` does not start with `/` or is not valid in a URI.
    #[error("`path` is not a URI path starting with `/`")]
    NotAPath,
    /// `headers` is not an object.
    #[error("`headers` is not a JSON object")]
    HeadersNotAnObject,
    /// The value of a header is not a string.
    #[error("header `{0}` is not a string")]
    HeaderNotAString(String),
}

/// Parses the body of a submitted job. Unknown fields are ignored.
///
/// # Errors
/// The body is nested too deeply or not a JSON object, a required field is missing, a field is invalid, or two items
/// have the same id.
pub fn parse(id: &str, terms: JobTerms, mut body: Vec<u8>) -> Result<Job, JobError> {
    if is_nested_too_deeply(&body) {
        return Err(JobError::NestedTooDeeply);
    }
    let value = simd_json::to_borrowed_value(&mut body)?;
    if value.as_object().is_none() {
        return Err(JobError::NotAnObject);
    }
    let requests =
        value.get("requests").and_then(|requests| requests.as_array()).ok_or(JobError::RequestsNotAnArray)?;
    Ok(Job {
        id: id.to_owned(),
        terms,
        items: parse_items(requests)?,
        step: unsigned_integer(&value, "step")?,
        model: text(&value, "model")?.unwrap_or_default().to_owned(),
        min_version: unsigned_integer(&value, "min_version")?,
        desired_groups: u32::try_from(unsigned_integer(&value, "desired")?).unwrap_or(u32::MAX),
    })
}

fn parse_items(requests: &[BorrowedValue<'_>]) -> Result<Vec<Item>, JobError> {
    let mut items = Vec::with_capacity(requests.len());
    let mut ids = HashSet::with_capacity(requests.len());
    for (position, request) in requests.iter().enumerate() {
        let item = parse_item(request).map_err(|cause| JobError::Item { position, cause })?;
        if !ids.insert(item.id.clone()) {
            return Err(JobError::Item { position, cause: ItemError::DuplicateId });
        }
        items.push(item);
    }
    Ok(items)
}

fn parse_item(value: &BorrowedValue<'_>) -> Result<Item, ItemError> {
    Ok(Item {
        id: required_text(value, "id")?,
        path: required_path(value)?,
        headers: parse_headers(value)?,
        body: base64_bytes(value, "body")?,
        tokens: unsigned_integer(value, "tokens")?,
        group: text(value, "group")?.unwrap_or_default().to_owned(),
        scorer: field(value, "scorer").map(parse_scorer).transpose().map_err(ItemError::Scorer)?,
    })
}

fn parse_scorer(value: &BorrowedValue<'_>) -> Result<Scorer, FieldError> {
    Ok(Scorer {
        id: required_text(value, "id")?,
        hostname: required_text(value, "hostname")?,
        path: required_path(value)?,
        body: base64_bytes(value, "body")?,
    })
}

/// Returns the headers, sorted by name.
fn parse_headers(value: &BorrowedValue<'_>) -> Result<Vec<(String, String)>, FieldError> {
    let Some(headers) = field(value, "headers") else { return Ok(Vec::new()) };
    let headers = headers.as_object().ok_or(FieldError::HeadersNotAnObject)?;
    let mut pairs = Vec::with_capacity(headers.len());
    for (name, value) in headers.iter() {
        let value = value.as_str().ok_or_else(|| FieldError::HeaderNotAString(name.to_string()))?;
        pairs.push((name.to_string(), value.to_owned()));
    }
    pairs.sort_unstable();
    Ok(pairs)
}

fn required_text(value: &BorrowedValue<'_>, name: &'static str) -> Result<String, FieldError> {
    match text(value, name)? {
        Some(text) if !text.is_empty() => Ok(text.to_owned()),
        _ => Err(FieldError::Missing(name)),
    }
}

fn required_path(value: &BorrowedValue<'_>) -> Result<String, FieldError> {
    let path = required_text(value, "path")?;
    if path.starts_with('/') && path.parse::<http::uri::PathAndQuery>().is_ok() {
        return Ok(path);
    }
    Err(FieldError::NotAPath)
}

fn text<'a>(value: &'a BorrowedValue<'_>, name: &'static str) -> Result<Option<&'a str>, FieldError> {
    let Some(field) = field(value, name) else { return Ok(None) };
    field.as_str().map(Some).ok_or(FieldError::NotAString(name))
}

/// Returns an unsigned integer, or 0 if the field is missing.
fn unsigned_integer(value: &BorrowedValue<'_>, name: &'static str) -> Result<u64, FieldError> {
    let Some(field) = field(value, name) else { return Ok(0) };
    field.as_u64().ok_or(FieldError::NotAnUnsignedInteger(name))
}

/// Returns the decoded bytes of a base64 field, or no bytes if it is missing.
fn base64_bytes(value: &BorrowedValue<'_>, name: &'static str) -> Result<Vec<u8>, FieldError> {
    let Some(encoded) = text(value, name)? else { return Ok(Vec::new()) };
    STANDARD.decode(encoded).map_err(|_| FieldError::NotBase64(name))
}

/// Returns a field, or `None` if it is missing or `null`.
fn field<'a, 'v>(value: &'a BorrowedValue<'v>, name: &str) -> Option<&'a BorrowedValue<'v>> {
    value.get(name).filter(|field| !matches!(field, BorrowedValue::Static(StaticNode::Null)))
}
