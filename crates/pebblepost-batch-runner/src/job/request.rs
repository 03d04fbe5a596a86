//! Reads the JSON body of a submitted batch job.
//!
//! Checks the form of the job only; whether it is accepted is the store's decision.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use pebblepost_messages::batch::{Item, Job, JobTerms, Scorer};
use simd_json::prelude::{ValueAsArray, ValueAsObject, ValueAsScalar, ValueObjectAccess};
use simd_json::{BorrowedValue, StaticNode};
use std::collections::HashSet;
use thiserror::Error;

/// Why a body is not a batch job. The text goes to the client.
#[derive(Debug, Error)]
pub enum JobError {
    /// The body is not valid JSON.
    #[error("the body is not JSON: {0}")]
    NotJson(#[from] simd_json::Error),
    /// The body is JSON, but not an object.
    #[error("the body is no object")]
    NotAnObject,
    /// The list of items is missing.
    #[error("`requests` is missing or no list")]
    NoRequests,
    /// A field of the job is invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// An item is invalid.
    #[error("item {position}: {cause}")]
    Item {
        /// Position of the item in the list, from 0.
        position: usize,
        /// Why it is invalid.
        cause: ItemError,
    },
}

/// Why an item of a job is invalid.
#[derive(Debug, Error)]
pub enum ItemError {
    /// A field of the item is invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// A field of its scorer is invalid.
    #[error("scorer: {0}")]
    Scorer(FieldError),
    /// Another item of the job has the same id.
    #[error("its id was used before")]
    DuplicateId,
}

/// Why a field is invalid.
#[derive(Debug, Error)]
pub enum FieldError {
    /// A required text is missing or empty.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// It is not a text.
    #[error("`{0}` is no text")]
    NotText(&'static str),
    /// It is not a whole number.
    #[error("`{0}` is no whole number")]
    NotWholeNumber(&'static str),
    /// It is not valid base64.
    #[error("`{0}` is no base64")]
    NotBase64(&'static str),
    /// `path` is not a path.
    #[error("`path` is no path")]
    NotAPath,
    /// `headers` is not an object.
    #[error("`headers` is no object")]
    HeadersNotAnObject,
    /// The value of a header is not a text.
    #[error("header `{0}` is no text")]
    HeaderNotText(String),
}

/// Reads the body of a submitted job. Unknown fields are ignored.
///
/// # Errors
/// The body is not JSON, or a required field is missing or invalid.
pub fn parse(id: &str, terms: JobTerms, mut body: Vec<u8>) -> Result<Job, JobError> {
    let value = simd_json::to_borrowed_value(&mut body)?;
    if value.as_object().is_none() {
        return Err(JobError::NotAnObject);
    }
    let requests =
        value.get("requests").and_then(|requests| requests.as_array()).ok_or(JobError::NoRequests)?;
    Ok(Job {
        id: id.to_owned(),
        terms,
        items: parse_items(requests)?,
        step: whole_number(&value, "step")?,
        model: text(&value, "model")?.unwrap_or_default().to_owned(),
        min_version: whole_number(&value, "min_version")?,
        desired_groups: u32::try_from(whole_number(&value, "desired")?).unwrap_or(u32::MAX),
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
        tokens: whole_number(value, "tokens")?,
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

/// Headers in the order of their names.
fn parse_headers(value: &BorrowedValue<'_>) -> Result<Vec<(String, String)>, FieldError> {
    let Some(headers) = field(value, "headers") else { return Ok(Vec::new()) };
    let headers = headers.as_object().ok_or(FieldError::HeadersNotAnObject)?;
    let mut pairs = Vec::with_capacity(headers.len());
    for (name, value) in headers.iter() {
        let value = value.as_str().ok_or_else(|| FieldError::HeaderNotText(name.to_string()))?;
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
    field.as_str().map(Some).ok_or(FieldError::NotText(name))
}

/// A whole number; 0 where it is missing.
fn whole_number(value: &BorrowedValue<'_>, name: &'static str) -> Result<u64, FieldError> {
    let Some(field) = field(value, name) else { return Ok(0) };
    field.as_u64().ok_or(FieldError::NotWholeNumber(name))
}

/// Bytes in base64; empty where they are missing.
fn base64_bytes(value: &BorrowedValue<'_>, name: &'static str) -> Result<Vec<u8>, FieldError> {
    let Some(encoded) = text(value, name)? else { return Ok(Vec::new()) };
    STANDARD.decode(encoded).map_err(|_| FieldError::NotBase64(name))
}

/// A field; `None` where it is missing or `null`.
fn field<'a, 'v>(value: &'a BorrowedValue<'v>, name: &str) -> Option<&'a BorrowedValue<'v>> {
    value.get(name).filter(|field| !matches!(field, BorrowedValue::Static(StaticNode::Null)))
}
