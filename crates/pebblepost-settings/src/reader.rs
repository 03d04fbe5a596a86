//! Typed reading of a TOML table; errors name the file and the key.

use eyre::{Result, bail, ensure, eyre};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use toml::{Table, Value};

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// A table of the settings file.
pub(crate) struct Section<'a> {
    table: Option<&'a Table>,
    source: &'a str,
    prefix: String,
}

impl<'a> Section<'a> {
    /// The whole file.
    pub(crate) fn root(table: &'a Table, source: &'a str) -> Section<'a> {
        Section { table: Some(table), source, prefix: String::new() }
    }

    /// A table of this one; an absent one reads as an empty one.
    pub(crate) fn section(&self, key: &str) -> Result<Section<'a>> {
        let table = match self.value(key) {
            None => None,
            Some(Value::Table(table)) => Some(table),
            Some(Value::String(text)) if text.is_empty() => None,
            Some(other) => bail!(self.mismatch(key, "a table", other)),
        };
        Ok(Section { table, source: self.source, prefix: format!("{}{key}.", self.prefix) })
    }

    /// File and key, for errors.
    pub(crate) fn name(&self, key: &str) -> String {
        format!("{}: `{}{key}`", self.source, self.prefix)
    }

    /// All keys of the table.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &'a str> {
        self.table.into_iter().flat_map(|table| table.keys().map(String::as_str))
    }

    /// A text; an empty one counts as absent.
    pub(crate) fn text(&self, key: &str) -> Result<Option<String>> {
        match self.value(key) {
            None => Ok(None),
            Some(Value::String(text)) if text.is_empty() => Ok(None),
            Some(Value::String(text)) => Ok(Some(text.clone())),
            Some(other) => Err(self.mismatch(key, "a text", other)),
        }
    }

    /// A text that has to be there.
    pub(crate) fn required_text(&self, key: &str) -> Result<String> {
        self.text(key)?.ok_or_else(|| eyre!("{}: is missing", self.name(key)))
    }

    /// An IP address that has to be there.
    pub(crate) fn required_ip(&self, key: &str) -> Result<IpAddr> {
        let text = self.required_text(key)?;
        text.parse().map_err(|_| eyre!("{}: '{text}' is not an IP address", self.name(key)))
    }

    /// An address with its port.
    pub(crate) fn address(&self, key: &str) -> Result<Option<SocketAddr>> {
        self.text(key)?.map(|text| self.parse_address(key, &text)).transpose()
    }

    /// A list of addresses with their ports.
    pub(crate) fn addresses(&self, key: &str) -> Result<Vec<SocketAddr>> {
        let values = match self.value(key) {
            None => return Ok(Vec::new()),
            Some(Value::Array(values)) => values,
            Some(Value::String(text)) if text.is_empty() => return Ok(Vec::new()),
            Some(other) => bail!(self.mismatch(key, "a list of addresses", other)),
        };
        values
            .iter()
            .map(|value| match value {
                Value::String(text) => self.parse_address(key, text),
                other => Err(self.mismatch(key, "a list of addresses", other)),
            })
            .collect()
    }

    /// A list of two ports.
    pub(crate) fn port_pair(&self, key: &str) -> Result<(u16, u16)> {
        let value = self.value(key).ok_or_else(|| eyre!("{}: is missing", self.name(key)))?;
        let Value::Array(ports) = value else { bail!(self.mismatch(key, "a list of two ports", value)) };
        let [first, last] = ports.as_slice() else {
            bail!("{}: must be a list of two ports, has {}", self.name(key), ports.len())
        };
        Ok((self.port(key, first)?, self.port(key, last)?))
    }

    /// True or false.
    pub(crate) fn flag(&self, key: &str, default: bool) -> Result<bool> {
        match self.value(key) {
            None => Ok(default),
            Some(Value::Boolean(flag)) => Ok(*flag),
            Some(other) => Err(self.mismatch(key, "true or false", other)),
        }
    }

    /// A whole number, 0 or more.
    pub(crate) fn count(&self, key: &str, default: u64) -> Result<usize> {
        let count = match self.value(key) {
            None => default,
            Some(Value::Integer(number)) => u64::try_from(*number)
                .map_err(|_| eyre!("{}: must not be negative, is {number}", self.name(key)))?,
            Some(Value::Float(number)) if number.fract() == 0.0 => self.not_negative(key, *number)? as u64,
            Some(other) => bail!(self.mismatch(key, "a whole number", other)),
        };
        usize::try_from(count).map_err(|_| eyre!("{}: is too large", self.name(key)))
    }

    /// A number, whole or fraction, 0 or more.
    pub(crate) fn number(&self, key: &str, default: f64) -> Result<f64> {
        match self.value(key) {
            None => Ok(default),
            Some(Value::Integer(number)) => self.not_negative(key, *number as f64),
            Some(Value::Float(number)) => self.not_negative(key, *number),
            Some(other) => Err(self.mismatch(key, "a number", other)),
        }
    }

    /// A time in milliseconds.
    pub(crate) fn milliseconds(&self, key: &str, default: Duration) -> Result<Duration> {
        let number = self.number(key, default.as_secs_f64() * MILLISECONDS_PER_SECOND)?;
        self.duration(key, number / MILLISECONDS_PER_SECOND)
    }

    /// A time in seconds.
    pub(crate) fn seconds(&self, key: &str, default: Duration) -> Result<Duration> {
        let number = self.number(key, default.as_secs_f64())?;
        self.duration(key, number)
    }

    fn value(&self, key: &str) -> Option<&'a Value> {
        self.table.and_then(|table| table.get(key))
    }

    fn parse_address(&self, key: &str, text: &str) -> Result<SocketAddr> {
        text.parse().map_err(|_| eyre!("{}: '{text}' is not an address with a port", self.name(key)))
    }

    fn port(&self, key: &str, value: &Value) -> Result<u16> {
        let Value::Integer(number) = value else { bail!(self.mismatch(key, "a list of two ports", value)) };
        let port = u16::try_from(*number).ok().filter(|port| *port > 0);
        port.ok_or_else(|| eyre!("{}: {number} is not a port", self.name(key)))
    }

    fn not_negative(&self, key: &str, number: f64) -> Result<f64> {
        ensure!(number.is_finite(), "{}: must be finite, is {number}", self.name(key));
        ensure!(number >= 0.0, "{}: must not be negative, is {number}", self.name(key));
        Ok(number)
    }

    fn duration(&self, key: &str, seconds: f64) -> Result<Duration> {
        Duration::try_from_secs_f64(seconds).map_err(|_| eyre!("{}: is too long a time", self.name(key)))
    }

    fn mismatch(&self, key: &str, wanted: &str, found: &Value) -> eyre::Report {
        eyre!("{}: must be {wanted}, is of type {}", self.name(key), found.type_str())
    }
}
