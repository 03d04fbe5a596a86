//! Reading of a submitted batch job.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use pebblepost_messages::batch::{Item, Job, JobTerms, Scorer};
use simd_json::BorrowedValue;
use simd_json::prelude::{ValueAsArray, ValueAsObject, ValueAsScalar, ValueObjectAccess};
use std::collections::HashSet;
use std::fmt;

/// Why a body is no batch job; one sentence for the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidJob(pub String);

impl fmt::Display for InvalidJob {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Reads the JSON body of a `POST` that submits a job. Fields that these pages don't know are
/// passed over.
pub fn parse(id: &str, terms: JobTerms, mut body: Vec<u8>) -> Result<Job, InvalidJob> {
    let value = simd_json::to_borrowed_value(&mut body)
        .map_err(|error| InvalidJob(format!("the body is not JSON: {error}")))?;
    if value.as_object().is_none() {
        return Err(InvalidJob("the body is no object".to_owned()));
    }
    let requests = value
        .get("requests")
        .and_then(|requests| requests.as_array())
        .ok_or_else(|| InvalidJob("`requests` is missing or no list".to_owned()))?;
    let mut items = Vec::with_capacity(requests.len());
    let mut ids = HashSet::with_capacity(requests.len());
    for (position, request) in requests.iter().enumerate() {
        let item = parse_item(request)
            .map_err(|InvalidJob(reason)| InvalidJob(format!("item {position}: {reason}")))?;
        if !ids.insert(item.id.clone()) {
            return Err(InvalidJob(format!("item {position}: its id was used before")));
        }
        items.push(item);
    }
    Ok(Job {
        id: id.to_owned(),
        terms,
        step: number(&value, "step")?,
        model: text(&value, "model")?.unwrap_or_default().to_owned(),
        min_version: number(&value, "min_version")?,
        desired_groups: u32::try_from(number(&value, "desired")?).unwrap_or(u32::MAX),
        items,
    })
}

fn parse_item(value: &BorrowedValue<'_>) -> Result<Item, InvalidJob> {
    Ok(Item {
        id: required_text(value, "id")?,
        path: required_path(value)?,
        headers: parse_headers(value)?,
        body: bytes(value, "body")?,
        tokens: number(value, "tokens")?,
        group: text(value, "group")?.unwrap_or_default().to_owned(),
        scorer: match value.get("scorer") {
            None => None,
            Some(scorer) if is_null(scorer) => None,
            Some(scorer) => Some(parse_scorer(scorer)?),
        },
    })
}

fn parse_scorer(value: &BorrowedValue<'_>) -> Result<Scorer, InvalidJob> {
    let scorer = || -> Result<Scorer, InvalidJob> {
        Ok(Scorer {
            id: required_text(value, "id")?,
            hostname: required_text(value, "hostname")?,
            path: required_path(value)?,
            body: bytes(value, "body")?,
        })
    };
    scorer().map_err(|InvalidJob(reason)| InvalidJob(format!("scorer: {reason}")))
}

fn parse_headers(value: &BorrowedValue<'_>) -> Result<Vec<(String, String)>, InvalidJob> {
    let Some(headers) = value.get("headers").filter(|headers| !is_null(headers)) else {
        return Ok(Vec::new());
    };
    let headers = headers.as_object().ok_or_else(|| InvalidJob("`headers` is no object".to_owned()))?;
    let mut pairs = Vec::with_capacity(headers.len());
    for (name, value) in headers.iter() {
        let value = value.as_str().ok_or_else(|| InvalidJob(format!("header `{name}` is no text")))?;
        pairs.push((name.to_string(), value.to_owned()));
    }
    pairs.sort_unstable();
    Ok(pairs)
}

fn required_text(value: &BorrowedValue<'_>, name: &str) -> Result<String, InvalidJob> {
    match text(value, name)? {
        Some(text) if !text.is_empty() => Ok(text.to_owned()),
        _ => Err(InvalidJob(format!("`{name}` is missing"))),
    }
}

fn required_path(value: &BorrowedValue<'_>) -> Result<String, InvalidJob> {
    let path = required_text(value, "path")?;
    if path.starts_with('/') && path.parse::<http::uri::PathAndQuery>().is_ok() {
        return Ok(path);
    }
    Err(InvalidJob("`path` is no path".to_owned()))
}

fn text<'a>(value: &'a BorrowedValue<'_>, name: &str) -> Result<Option<&'a str>, InvalidJob> {
    match value.get(name) {
        None => Ok(None),
        Some(field) if is_null(field) => Ok(None),
        Some(field) => field.as_str().map(Some).ok_or_else(|| InvalidJob(format!("`{name}` is no text"))),
    }
}

/// A whole number; 0 where it is missing.
fn number(value: &BorrowedValue<'_>, name: &str) -> Result<u64, InvalidJob> {
    match value.get(name) {
        None => Ok(0),
        Some(field) if is_null(field) => Ok(0),
        Some(field) => field.as_u64().ok_or_else(|| InvalidJob(format!("`{name}` is no whole number"))),
    }
}

fn bytes(value: &BorrowedValue<'_>, name: &str) -> Result<Vec<u8>, InvalidJob> {
    let Some(encoded) = text(value, name)? else { return Ok(Vec::new()) };
    STANDARD.decode(encoded).map_err(|_| InvalidJob(format!("`{name}` is no base64")))
}

fn is_null(value: &BorrowedValue<'_>) -> bool {
    matches!(value, BorrowedValue::Static(simd_json::StaticNode::Null))
}
