//! Helpers that read and combine JSON values of the configuration.

use super::error::{ConfigError, ConfigProblem, Result, fail};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Permitted durations, in seconds.
const SECONDS_RANGE: std::ops::RangeInclusive<f64> = 0.001..=86_400.0;
/// Integers below this value are represented exactly by `f64`.
const MAX_EXACT_INTEGER_F64: f64 = 9e15;

/// Flattens JSON into the `path=value` lines that the decision module parses as settings.
///
/// A list with objects becomes a `count` line and numbered paths; any other list becomes one comma-separated value.
pub fn flatten(json: &Value) -> String {
    let mut lines = String::new();
    flatten_into(&mut lines, "", json);
    lines
}

fn flatten_into(lines: &mut String, path: &str, value: &Value) {
    let join = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(name, value)| flatten_into(lines, &join(name), value));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            let _ = writeln!(lines, "{}={}", join("count"), items.len());
            let numbered = items.iter().enumerate();
            numbered.for_each(|(index, item)| flatten_into(lines, &join(&index.to_string()), item));
        }
        Value::Array(items) => {
            let _ =
                writeln!(lines, "{path}={}", items.iter().map(format_scalar).collect::<Vec<_>>().join(","));
        }
        value => {
            let _ = writeln!(lines, "{path}={}", format_scalar(value));
        }
    }
}

/// Formats a value without spaces, commas and line breaks, which the `path=value` form reserves.
fn format_scalar(value: &Value) -> String {
    let text = match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        // `6e9` and `6000000000` are the same integer, for instance a number of nanoseconds.
        Value::Number(number) => match number.as_f64() {
            Some(float) if number.is_f64() && float.fract() == 0.0 && float.abs() < MAX_EXACT_INTEGER_F64 => {
                (float as i64).to_string()
            }
            _ => number.to_string(),
        },
        other => other.to_string(),
    };
    text.replace([' ', ',', '\n', '\r'], "_")
}

/// Merges `over` into `base` recursively: objects are merged key by key, any other value of `over` replaces that of `base`.
pub fn overlay(base: &mut Value, over: &Value) {
    match (base, over) {
        (Value::Object(base), Value::Object(over)) => {
            for (name, value) in over {
                overlay(base.entry(name.clone()).or_insert(Value::Null), value);
            }
        }
        (base, over) => *base = over.clone(),
    }
}

/// Reads and deserializes a JSON file.
///
/// # Errors
///
/// Fails if the file cannot be read, is not valid JSON, or does not match `T`.
pub(crate) fn read_file<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path).map_err(|error| ConfigError::at_path(path, "file", error))?;
    serde_json::from_str(&text).map_err(|error| ConfigError::at_path(path, "JSON", error))
}

/// Returns the names at a JSON pointer: a list of names or of objects with a `name`, or a comma-separated string.
pub(super) fn read_names(settings: &Value, pointer: &str) -> Vec<String> {
    let list = settings.pointer(pointer).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let name = |item: &Value| item.as_str().or_else(|| item.get("name")?.as_str()).unwrap_or("").to_owned();
    match settings.pointer(pointer).and_then(Value::as_str) {
        Some(text) => text.split(',').map(str::to_owned).collect(),
        None => list.iter().map(name).collect(),
    }
}

/// Reads an optional socket address.
pub(super) fn read_address(file: &str, key: &str, value: Option<&Value>) -> Result<Option<SocketAddr>> {
    let text = match value {
        None | Some(Value::Null) => return Ok(None),
        Some(Value::String(text)) => text,
        Some(_) => return fail(file, key, ConfigProblem::NotAddress),
    };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(error) => fail(file, key, ConfigProblem::Address { text: text.clone(), error }),
    }
}

/// Reads a duration in seconds; a missing value gives the default.
pub(super) fn read_seconds(file: &str, key: &str, value: Option<&Value>, default_s: f64) -> Result<Duration> {
    let seconds = match value {
        None | Some(Value::Null) => default_s,
        Some(value) => value.as_f64().unwrap_or(f64::NAN),
    };
    if SECONDS_RANGE.contains(&seconds) {
        Ok(Duration::from_secs_f64(seconds))
    } else {
        fail(file, key, ConfigProblem::NotSeconds)
    }
}

/// Fails at the first unknown key. `prefix` precedes the key in the error.
pub(super) fn check_keys(file: &str, prefix: &str, map: &Map<String, Value>, known: &[&str]) -> Result<()> {
    match map.keys().find(|key| !known.contains(&key.as_str())) {
        Some(key) => fail(file, &format!("{prefix}{key}"), ConfigProblem::UnknownKey),
        None => Ok(()),
    }
}

pub(super) fn read_object<'a>(file: &str, key: &str, value: &'a Value) -> Result<&'a Map<String, Value>> {
    value.as_object().map_or_else(|| fail(file, key, ConfigProblem::NotObject), Ok)
}

/// Reads the address `key.listen` of a listener; `None` if the key is missing.
pub(super) fn read_listener(file: &str, map: &Map<String, Value>, key: &str) -> Result<Option<SocketAddr>> {
    let Some(json) = map.get(key) else { return Ok(None) };
    check_keys(file, &format!("{key}."), read_object(file, key, json)?, &["listen"])?;
    read_address(file, &format!("{key}.listen"), json.get("listen"))
}
