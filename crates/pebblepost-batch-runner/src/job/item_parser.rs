//! Parses an item of a job and encodes it.

use super::error::{FieldError, ItemError, JobError};
use super::json_fields::{JsonFields, ReadError};
use crate::encoded_items::ItemEncoder;
use crate::text_blocks::TextBlocks;
use pebblepost_messages::batch::ItemEstimate;

/// Memory of a header's structures.
const HEADER_STRUCTURE_BYTES: usize = 320;

/// A header of an item.
struct Header {
    name: String,
    value: TextBlocks,
}

/// Fields of an item, in the order of their encoding.
#[derive(Default)]
struct ItemFields {
    id: String,
    path: String,
    headers: Vec<Header>,
    body: TextBlocks,
    tokens: u64,
    group: String,
    scorer: Option<ScorerFields>,
}

/// Fields of an item's scorer, in the order of their encoding.
#[derive(Default)]
struct ScorerFields {
    id: String,
    hostname: String,
    path: String,
    body: TextBlocks,
}

/// Parses the next item, appends its encoding and returns its id.
pub(super) fn parse_item(
    json: &mut JsonFields, encoder: &mut ItemEncoder, position: usize,
) -> Result<String, JobError> {
    let of_field = |error| JobError::Item { position, cause: ItemError::Field(error) };
    let mut item = ItemFields::default();
    if json.enter_object().map_err(|error| error.into_job_error(of_field))? {
        while let Some(name) = json.next_name().map_err(|error| error.into_job_error(of_field))? {
            if name == "scorer" {
                let scorer = parse_scorer(json);
                let of_scorer = |error| JobError::Item { position, cause: ItemError::Scorer(error) };
                item.scorer = scorer.map_err(|error| error.into_job_error(of_scorer))?;
            } else {
                let field = parse_field(json, &mut item, &name);
                field.map_err(|error| error.into_job_error(of_field))?;
            }
        }
    }
    check_text(&item.id, "id").and_then(|()| check_path(&item.path)).map_err(of_field)?;
    let id = item.id.clone();
    encode_item(item, encoder);
    Ok(id)
}

fn parse_field(json: &mut JsonFields, item: &mut ItemFields, name: &str) -> Result<(), ReadError> {
    match name {
        "id" => item.id = json.text("id")?,
        "path" => item.path = json.text("path")?,
        "headers" => item.headers = parse_headers(json)?,
        "body" => item.body = json.base64_bytes("body")?,
        "tokens" => item.tokens = json.unsigned_integer("tokens")?,
        "group" => item.group = json.text("group")?,
        _ => json.skip()?,
    }
    Ok(())
}

/// Returns the headers, sorted by name. Of several with the same name the last one counts.
fn parse_headers(json: &mut JsonFields) -> Result<Vec<Header>, ReadError> {
    if json.skip_null()? {
        return Ok(Vec::new());
    }
    if !json.enter_object()? {
        return Err(FieldError::HeadersNotAnObject.into());
    }
    let mut headers = Vec::new();
    while let Some(name) = json.next_name()? {
        json.memory.add_field_bytes(HEADER_STRUCTURE_BYTES + 2 * name.len())?;
        let value = json.header_value(&name)?;
        headers.push(Header { name, value });
    }
    headers.sort_by(|left, right| left.name.cmp(&right.name));
    headers.dedup_by(|later, earlier| {
        let is_same = later.name == earlier.name;
        if is_same {
            std::mem::swap(later, earlier);
        }
        is_same
    });
    Ok(headers)
}

fn parse_scorer(json: &mut JsonFields) -> Result<Option<ScorerFields>, ReadError> {
    if json.skip_null()? {
        return Ok(None);
    }
    let mut scorer = ScorerFields::default();
    if json.enter_object()? {
        while let Some(name) = json.next_name()? {
            match name.as_str() {
                "id" => scorer.id = json.text("id")?,
                "hostname" => scorer.hostname = json.text("hostname")?,
                "path" => scorer.path = json.text("path")?,
                "body" => scorer.body = json.base64_bytes("body")?,
                _ => json.skip()?,
            }
        }
    }
    check_text(&scorer.id, "id")?;
    check_text(&scorer.hostname, "hostname")?;
    check_path(&scorer.path)?;
    Ok(Some(scorer))
}

fn check_text(text: &str, name: &'static str) -> Result<(), FieldError> {
    if text.is_empty() { Err(FieldError::Missing(name)) } else { Ok(()) }
}

fn check_path(path: &str) -> Result<(), FieldError> {
    check_text(path, "path")?;
    if path.starts_with('/') && path.parse::<http::uri::PathAndQuery>().is_ok() {
        return Ok(());
    }
    Err(FieldError::NotAPath)
}

fn encode_item(item: ItemFields, encoder: &mut ItemEncoder) {
    let estimate = estimate_of(&item);
    encoder.push_text(&item.id);
    encoder.push_text(&item.path);
    encoder.push_integer(item.headers.len() as u64);
    for header in item.headers {
        encoder.push_text(&header.name);
        encoder.push_blocks(header.value);
    }
    encoder.push_blocks(item.body);
    encoder.push_integer(item.tokens);
    encoder.push_text(&item.group);
    encoder.push_presence(item.scorer.is_some());
    if let Some(scorer) = item.scorer {
        encoder.push_text(&scorer.id);
        encoder.push_text(&scorer.hostname);
        encoder.push_text(&scorer.path);
        encoder.push_blocks(scorer.body);
    }
    encoder.finish_item(estimate);
}

/// Estimates the memory of an item at a store. All of its texts count.
fn estimate_of(item: &ItemFields) -> ItemEstimate {
    let mut estimate = ItemEstimate::default();
    for text in [&item.id, &item.path, &item.group] {
        estimate.add_text(text.len() as u64);
    }
    for header in &item.headers {
        estimate.add_header();
        estimate.add_text(header.name.len() as u64);
        estimate.add_text(header.value.len() as u64);
    }
    estimate.add_body(item.body.len() as u64);
    if let Some(scorer) = &item.scorer {
        for text in [&scorer.id, &scorer.hostname, &scorer.path] {
            estimate.add_text(text.len() as u64);
        }
        estimate.add_body(scorer.body.len() as u64);
    }
    estimate
}
