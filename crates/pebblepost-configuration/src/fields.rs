//! Typed reading of an object's fields; an error names the item and the field.
//!
//! `null` counts as absent.

use crate::ConfigurationError;
use simd_json::BorrowedValue;
use simd_json::prelude::*;
use std::fmt::Display;
use std::time::Duration;

/// Longest time; longer ones are cut to it.
const LONGEST_SECONDS: f64 = 1e9;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// The version of a document or patch.
pub(crate) fn generation(document: &BorrowedValue<'_>) -> Result<u64, ConfigurationError> {
    let item = Item { value: document, label: "the document".to_owned() };
    if let Some(generation) = item.get("generation").and_then(|value| value.as_u64()) {
        return Ok(generation);
    }
    let number = item.number("generation")?.ok_or_else(|| item.missing("generation"))?;
    whole(number).ok_or_else(|| item.invalid("generation", "must be a whole number"))
}

/// An object whose fields are read.
pub(crate) struct Item<'a, 'b> {
    value: &'a BorrowedValue<'b>,
    label: String,
}

impl<'a, 'b> Item<'a, 'b> {
    /// The object; `label` stands for it in errors.
    pub(crate) fn new(
        value: &'a BorrowedValue<'b>, label: impl Display,
    ) -> Result<Item<'a, 'b>, ConfigurationError> {
        let label = label.to_string();
        if value.is_object() {
            Ok(Item { value, label })
        } else {
            Err(ConfigurationError(format!("{label} is not an object")))
        }
    }

    /// Uses another text for the object in errors.
    pub(crate) fn relabel(&mut self, label: impl Display) {
        self.label = label.to_string();
    }

    /// The error that a field is wrong.
    pub(crate) fn invalid(&self, field: &str, reason: impl Display) -> ConfigurationError {
        ConfigurationError(format!("{}: `{field}` {reason}", self.label))
    }

    /// The error that a field is missing.
    pub(crate) fn missing(&self, field: &str) -> ConfigurationError {
        self.invalid(field, "is missing")
    }

    /// A field that is there.
    pub(crate) fn get(&self, field: &str) -> Option<&'a BorrowedValue<'b>> {
        self.value.get(field).filter(|value| !value.is_null())
    }

    /// A text.
    pub(crate) fn text(&self, field: &str) -> Result<Option<&'a str>, ConfigurationError> {
        let Some(value) = self.get(field) else { return Ok(None) };
        value.as_str().map(Some).ok_or_else(|| self.invalid(field, "must be a text"))
    }

    /// A text that has to be there.
    pub(crate) fn required_text(&self, field: &str) -> Result<&'a str, ConfigurationError> {
        self.text(field)?.ok_or_else(|| self.missing(field))
    }

    /// True or false; absent means false.
    pub(crate) fn flag(&self, field: &str) -> Result<bool, ConfigurationError> {
        let Some(value) = self.get(field) else { return Ok(false) };
        value.as_bool().ok_or_else(|| self.invalid(field, "must be true or false"))
    }

    /// A number, 0 or more.
    pub(crate) fn number(&self, field: &str) -> Result<Option<f64>, ConfigurationError> {
        let Some(value) = self.get(field) else { return Ok(None) };
        let number = value.cast_f64().ok_or_else(|| self.invalid(field, "must be a number"))?;
        if number.is_finite() && number >= 0.0 {
            Ok(Some(number))
        } else {
            Err(self.invalid(field, "must not be negative"))
        }
    }

    /// A whole number; too large a one is cut.
    pub(crate) fn count(&self, field: &str) -> Result<Option<u32>, ConfigurationError> {
        let Some(number) = self.number(field)? else { return Ok(None) };
        let whole = whole(number).ok_or_else(|| self.invalid(field, "must be a whole number"))?;
        Ok(Some(u32::try_from(whole).unwrap_or(u32::MAX)))
    }

    /// A time in milliseconds.
    pub(crate) fn milliseconds(&self, field: &str) -> Result<Option<Duration>, ConfigurationError> {
        Ok(self.number(field)?.map(|number| duration(number / MILLISECONDS_PER_SECOND)))
    }

    /// A time in seconds.
    pub(crate) fn seconds(&self, field: &str) -> Result<Option<Duration>, ConfigurationError> {
        Ok(self.number(field)?.map(duration))
    }

    /// A list.
    pub(crate) fn list(&self, field: &str) -> Result<Option<&'a [BorrowedValue<'b>]>, ConfigurationError> {
        let Some(value) = self.get(field) else { return Ok(None) };
        match value.as_array() {
            Some(list) => Ok(Some(list.as_slice())),
            None => Err(self.invalid(field, "must be a list")),
        }
    }
}

fn duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.min(LONGEST_SECONDS))
}

fn whole(number: f64) -> Option<u64> {
    (number.fract() == 0.0).then_some(number as u64)
}
