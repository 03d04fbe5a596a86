//! Typed access to the fields of an object. Errors name the object and the field. A field that is `null` counts as
//! absent.

use crate::{ConfigurationError, FieldError};
use simd_json::BorrowedValue;
use simd_json::prelude::*;
use std::fmt::Display;
use std::time::Duration;

/// Upper bound on times. Longer ones are reduced to it, because `Duration` cannot hold every number that a document
/// may contain.
const MAX_DURATION_SECONDS: f64 = 1e9;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// A reader of the fields of an object.
pub(crate) struct ObjectReader<'a, 'b> {
    value: &'a BorrowedValue<'b>,
    /// Name of the object in error texts.
    label: String,
}

impl<'a, 'b> ObjectReader<'a, 'b> {
    /// Creates a reader for an object that is called `label` in error texts.
    pub(crate) fn new(
        value: &'a BorrowedValue<'b>, label: impl Display,
    ) -> Result<ObjectReader<'a, 'b>, ConfigurationError> {
        let label = label.to_string();
        if value.is_object() {
            Ok(ObjectReader { value, label })
        } else {
            Err(ConfigurationError::NotAnObject { object: label })
        }
    }

    /// Changes the name of the object in error texts.
    pub(crate) fn relabel(&mut self, label: impl Display) {
        self.label = label.to_string();
    }

    /// Returns the error for an invalid field.
    pub(crate) fn invalid(&self, field: &str, reason: FieldError) -> ConfigurationError {
        ConfigurationError::InvalidField { object: self.label.clone(), field: field.to_owned(), reason }
    }

    /// Returns the error for a missing field.
    pub(crate) fn missing(&self, field: &str) -> ConfigurationError {
        self.invalid(field, FieldError::Missing)
    }

    /// Returns the value of a field.
    pub(crate) fn get(&self, field: &str) -> Option<&'a BorrowedValue<'b>> {
        self.value.get(field).filter(|value| !value.is_null())
    }

    /// Reads an optional string.
    pub(crate) fn string(&self, field: &str) -> Result<Option<&'a str>, ConfigurationError> {
        let Some(value) = self.get(field) else { return Ok(None) };
        value.as_str().map(Some).ok_or_else(|| self.invalid(field, FieldError::NotAString))
    }

    /// Reads a required string.
    pub(crate) fn required_string(&self, field: &str) -> Result<&'a str, ConfigurationError> {
        self.string(field)?.ok_or_else(|| self.missing(field))
    }

    /// Reads a boolean, which is `false` if absent.
    pub(crate) fn flag(&self, field: &str) -> Result<bool, ConfigurationError> {
        let Some(value) = self.get(field) else { return Ok(false) };
        value.as_bool().ok_or_else(|| self.invalid(field, FieldError::NotABoolean))
    }

    /// Reads an optional finite number that is not negative.
    pub(crate) fn number(&self, field: &str) -> Result<Option<f64>, ConfigurationError> {
        let Some(value) = self.get(field) else { return Ok(None) };
        let number = value.cast_f64().ok_or_else(|| self.invalid(field, FieldError::NotANumber))?;
        if number.is_finite() && number >= 0.0 {
            Ok(Some(number))
        } else {
            Err(self.invalid(field, FieldError::Negative))
        }
    }

    /// Reads an optional integer that is not negative. Values above `u32::MAX` are reduced to it.
    pub(crate) fn count(&self, field: &str) -> Result<Option<u32>, ConfigurationError> {
        let Some(number) = self.number(field)? else { return Ok(None) };
        let integer = to_integer(number).ok_or_else(|| self.invalid(field, FieldError::NotAnInteger))?;
        Ok(Some(u32::try_from(integer).unwrap_or(u32::MAX)))
    }

    /// Reads an optional time in milliseconds.
    pub(crate) fn milliseconds(&self, field: &str) -> Result<Option<Duration>, ConfigurationError> {
        Ok(self.number(field)?.map(|number| duration(number / MILLISECONDS_PER_SECOND)))
    }

    /// Reads an optional time in seconds.
    pub(crate) fn seconds(&self, field: &str) -> Result<Option<Duration>, ConfigurationError> {
        Ok(self.number(field)?.map(duration))
    }

    /// Reads an optional array.
    pub(crate) fn list(&self, field: &str) -> Result<Option<&'a [BorrowedValue<'b>]>, ConfigurationError> {
        let Some(value) = self.get(field) else { return Ok(None) };
        match value.as_array() {
            Some(list) => Ok(Some(list.as_slice())),
            None => Err(self.invalid(field, FieldError::NotAList)),
        }
    }
}

/// Converts a number to an integer, or returns `None` if it has a fraction.
pub(super) fn to_integer(number: f64) -> Option<u64> {
    (number.fract() == 0.0).then_some(number as u64)
}

fn duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.min(MAX_DURATION_SECONDS))
}
