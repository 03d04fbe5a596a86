//! Reading and combining JSON values of the configuration.

use super::error::{ConfigError, ConfigProblem, Result, fail};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The durations that a key may give, in seconds.
const SECONDS_RANGE: std::ops::RangeInclusive<f64> = 0.001..=86_400.0;
/// Whole numbers below this are exact as floating-point numbers.
const MAX_EXACT_FLOAT: f64 = 9e15;

/// Flattens JSON into the `path=value` lines of a start message.
pub fn flatten(json: &Value) -> String {
    let mut lines = String::new();
    flatten_into(&mut lines, "", json);
    lines
}

fn flatten_into(lines: &mut String, path: &str, value: &Value) {
    let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(name, value)| flatten_into(lines, &under(name), value));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            let _ = writeln!(lines, "{}={}", under("count"), items.len());
            let numbered = items.iter().enumerate();
            numbered.for_each(|(index, item)| flatten_into(lines, &under(&index.to_string()), item));
        }
        Value::Array(items) => {
            let _ = writeln!(lines, "{path}={}", items.iter().map(scalar).collect::<Vec<_>>().join(","));
        }
        value => {
            let _ = writeln!(lines, "{path}={}", scalar(value));
        }
    }
}

fn scalar(value: &Value) -> String {
    let text = match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        // `6e9` means a whole number of nanoseconds just as `6000000000` does.
        Value::Number(number) => match number.as_f64() {
            Some(float) if number.is_f64() && float.fract() == 0.0 && float.abs() < MAX_EXACT_FLOAT => {
                (float as i64).to_string()
            }
            _ => number.to_string(),
        },
        other => other.to_string(),
    };
    text.replace([' ', ',', '\n', '\r'], "_")
}

/// Lays `over` onto `base`, object by object.
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

/// Reads a file of JSON.
pub(crate) fn read_file<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path).map_err(|error| ConfigError::at_path(path, "file", error))?;
    serde_json::from_str(&text).map_err(|error| ConfigError::at_path(path, "JSON", error))
}

/// The names in the list, or the text with commas between, at a JSON pointer.
pub(super) fn names(settings: &Value, pointer: &str) -> Vec<String> {
    let list = settings.pointer(pointer).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let name = |item: &Value| item.as_str().or_else(|| item.get("name")?.as_str()).unwrap_or("").to_owned();
    match settings.pointer(pointer).and_then(Value::as_str) {
        Some(text) => text.split(',').map(str::to_owned).collect(),
        None => list.iter().map(name).collect(),
    }
}

pub(super) fn address(file: &str, key: &str, value: Option<&Value>) -> Result<Option<SocketAddr>> {
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

pub(super) fn seconds(file: &str, key: &str, value: Option<&Value>, default_s: f64) -> Result<Duration> {
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

/// Fails at the first key that is not known. `prefix` is what stands before the key in the error.
pub(super) fn check_keys(file: &str, prefix: &str, map: &Map<String, Value>, known: &[&str]) -> Result<()> {
    match map.keys().find(|key| !known.contains(&key.as_str())) {
        Some(key) => fail(file, &format!("{prefix}{key}"), ConfigProblem::UnknownKey),
        None => Ok(()),
    }
}

pub(super) fn object<'a>(file: &str, key: &str, value: &'a Value) -> Result<&'a Map<String, Value>> {
    value.as_object().map_or_else(|| fail(file, key, ConfigProblem::NotObject), Ok)
}

/// The address of a listener `key.listen`, if the key is there.
pub(super) fn listener(file: &str, map: &Map<String, Value>, key: &str) -> Result<Option<SocketAddr>> {
    let Some(json) = map.get(key) else { return Ok(None) };
    check_keys(file, &format!("{key}."), object(file, key, json)?, &["listen"])?;
    address(file, &format!("{key}.listen"), json.get("listen"))
}
