//! Typed access to the keys of a TOML table. Errors name the file and the full path of the key.

use crate::error::{SettingsError, ValueError};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use toml::{Table, Value};

const MILLISECONDS_PER_SECOND: f64 = 1000.0;
/// Description of the type of a port range in errors.
const PORT_PAIR_TYPE: &str = "a list of two ports";

/// A table of the settings file. All keys of an absent table are absent.
pub(crate) struct Section<'a> {
    table: Option<&'a Table>,
    file: &'a str,
    /// Path of the table in the file, with a trailing dot; empty for the top level.
    prefix: String,
}

impl<'a> Section<'a> {
    /// Returns the top level of the file.
    pub(crate) fn root(table: &'a Table, file: &'a str) -> Section<'a> {
        Section { table: Some(table), file, prefix: String::new() }
    }

    /// Returns a nested table. An absent table, or an empty string in its place, counts as empty.
    pub(crate) fn section(&self, key: &str) -> Result<Section<'a>, SettingsError> {
        let table = match self.value(key) {
            None => None,
            Some(Value::Table(table)) => Some(table),
            Some(Value::String(text)) if text.is_empty() => None,
            Some(other) => return Err(self.wrong_type(key, "a table", other)),
        };
        Ok(Section { table, file: self.file, prefix: format!("{}{key}.", self.prefix) })
    }

    /// Creates the error for an invalid value of a key.
    pub(crate) fn invalid(&self, key: &str, reason: ValueError) -> SettingsError {
        let key = format!("{}{key}", self.prefix);
        SettingsError::InvalidValue { file: self.file.to_owned(), key, reason }
    }

    /// Returns all keys of the table.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &'a str> {
        self.table.into_iter().flat_map(|table| table.keys().map(String::as_str))
    }

    /// Returns a string. An empty one counts as absent.
    pub(crate) fn string(&self, key: &str) -> Result<Option<String>, SettingsError> {
        match self.value(key) {
            None => Ok(None),
            Some(Value::String(text)) if text.is_empty() => Ok(None),
            Some(Value::String(text)) => Ok(Some(text.clone())),
            Some(other) => Err(self.wrong_type(key, "a string", other)),
        }
    }

    /// Returns a required string.
    pub(crate) fn required_string(&self, key: &str) -> Result<String, SettingsError> {
        self.string(key)?.ok_or_else(|| self.invalid(key, ValueError::Missing))
    }

    /// Returns a required IP address.
    pub(crate) fn required_ip(&self, key: &str) -> Result<IpAddr, SettingsError> {
        let text = self.required_string(key)?;
        text.parse().map_err(|_| self.invalid(key, ValueError::NotAnIpAddress(text)))
    }

    /// Returns an IP address with a port.
    pub(crate) fn address(&self, key: &str) -> Result<Option<SocketAddr>, SettingsError> {
        self.string(key)?.map(|text| self.parse_address(key, &text)).transpose()
    }

    /// Returns a list of IP addresses with ports. An absent key or an empty string counts as an empty list.
    pub(crate) fn addresses(&self, key: &str) -> Result<Vec<SocketAddr>, SettingsError> {
        let values = match self.value(key) {
            None => return Ok(Vec::new()),
            Some(Value::Array(values)) => values,
            Some(Value::String(text)) if text.is_empty() => return Ok(Vec::new()),
            Some(other) => return Err(self.wrong_type(key, "a list of addresses", other)),
        };
        values
            .iter()
            .map(|value| match value {
                Value::String(text) => self.parse_address(key, text),
                other => Err(self.wrong_type(key, "a list of addresses", other)),
            })
            .collect()
    }

    /// Returns a required list of two ports, neither of them 0.
    pub(crate) fn port_pair(&self, key: &str) -> Result<(u16, u16), SettingsError> {
        let value = self.value(key).ok_or_else(|| self.invalid(key, ValueError::Missing))?;
        let Value::Array(ports) = value else { return Err(self.wrong_type(key, PORT_PAIR_TYPE, value)) };
        let [first, last] = ports.as_slice() else {
            return Err(self.invalid(key, ValueError::WrongPortCount(ports.len())));
        };
        Ok((self.port(key, first)?, self.port(key, last)?))
    }

    /// Returns a boolean.
    pub(crate) fn flag(&self, key: &str, default: bool) -> Result<bool, SettingsError> {
        match self.value(key) {
            None => Ok(default),
            Some(Value::Boolean(flag)) => Ok(*flag),
            Some(other) => Err(self.wrong_type(key, "true or false", other)),
        }
    }

    /// Returns an integer of at least 0. A float without a fraction counts as an integer.
    pub(crate) fn count(&self, key: &str, default: u64) -> Result<usize, SettingsError> {
        let count = match self.value(key) {
            None => default,
            Some(Value::Integer(number)) => {
                u64::try_from(*number).map_err(|_| self.invalid(key, ValueError::NegativeInteger(*number)))?
            }
            Some(Value::Float(number)) if number.fract() == 0.0 => {
                self.check_finite_not_negative(key, *number)? as u64
            }
            Some(other) => return Err(self.wrong_type(key, "an integer", other)),
        };
        usize::try_from(count).map_err(|_| self.invalid(key, ValueError::TooLarge))
    }

    /// Returns a finite number of at least 0.
    pub(crate) fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        match self.value(key) {
            None => Ok(default),
            Some(Value::Integer(number)) => self.check_finite_not_negative(key, *number as f64),
            Some(Value::Float(number)) => self.check_finite_not_negative(key, *number),
            Some(other) => Err(self.wrong_type(key, "a number", other)),
        }
    }

    /// Returns a duration that the file gives in milliseconds.
    pub(crate) fn milliseconds(&self, key: &str, default: Duration) -> Result<Duration, SettingsError> {
        let number = self.number(key, default.as_secs_f64() * MILLISECONDS_PER_SECOND)?;
        self.duration(key, number / MILLISECONDS_PER_SECOND)
    }

    /// Returns a duration that the file gives in seconds.
    pub(crate) fn seconds(&self, key: &str, default: Duration) -> Result<Duration, SettingsError> {
        let number = self.number(key, default.as_secs_f64())?;
        self.duration(key, number)
    }

    fn value(&self, key: &str) -> Option<&'a Value> {
        self.table.and_then(|table| table.get(key))
    }

    fn parse_address(&self, key: &str, text: &str) -> Result<SocketAddr, SettingsError> {
        text.parse().map_err(|_| self.invalid(key, ValueError::NotASocketAddress(text.to_owned())))
    }

    fn port(&self, key: &str, value: &Value) -> Result<u16, SettingsError> {
        let Value::Integer(number) = value else { return Err(self.wrong_type(key, PORT_PAIR_TYPE, value)) };
        let port = u16::try_from(*number).ok().filter(|port| *port > 0);
        port.ok_or_else(|| self.invalid(key, ValueError::NotAPort(*number)))
    }

    /// Returns the number if it is finite and at least 0.
    fn check_finite_not_negative(&self, key: &str, number: f64) -> Result<f64, SettingsError> {
        if !number.is_finite() {
            return Err(self.invalid(key, ValueError::NotFinite(number)));
        }
        if number < 0.0 {
            return Err(self.invalid(key, ValueError::Negative(number)));
        }
        Ok(number)
    }

    fn duration(&self, key: &str, seconds: f64) -> Result<Duration, SettingsError> {
        Duration::try_from_secs_f64(seconds).map_err(|_| self.invalid(key, ValueError::TooLong))
    }

    fn wrong_type(&self, key: &str, expected: &'static str, value: &Value) -> SettingsError {
        self.invalid(key, ValueError::WrongType { expected, found: value.type_str() })
    }
}
