//! Typed access to the fields of an object. Errors name the object and the field; `null` counts as absent.

use crate::{ConfigurationError, FieldError};
use simd_json::BorrowedValue;
use simd_json::prelude::*;
use std::fmt::Display;
use std::time::Duration;

/// Longer times are cut to this: `Duration` could not hold every number of a document.
const MAX_SECONDS: f64 = 1e9;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// An object whose fields are read.
pub(crate) struct ObjectReader<'a, 'b> {
    value: &'a BorrowedValue<'b>,
    label: String,
}

impl<'a, 'b> ObjectReader<'a, 'b> {
    /// A reader of an object that is named `label` in errors.
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

    /// Changes the name of the object in errors.
    pub(crate) fn relabel(&mut self, label: impl Display) {
        self.label = label.to_string();
    }

    /// The error that a field is invalid.
    pub(crate) fn invalid(&self, field: &str, reason: FieldError) -> ConfigurationError {
        ConfigurationError::InvalidField { object: self.label.clone(), field: field.to_owned(), reason }
    }

    /// The error that a field is missing.
    pub(crate) fn missing(&self, field: &str) -> ConfigurationError {
        self.invalid(field, FieldError::Missing)
    }

    /// The value of a field.
    pub(crate) fn get(&self, field: &str) -> Option<&'a BorrowedValue<'b>> {
        self.value.get(field).filter(|value| !value.is_null())
    }

    /// A string.
    pub(crate) fn string(&self, field: &str) -> Result<Option<&'a str>, ConfigurationError> {
        let Some(value) = self.get(field) else { return Ok(None) };
        value.as_str().map(Some).ok_or_else(|| self.invalid(field, FieldError::NotAString))
    }

    /// A required string.
    pub(crate) fn required_string(&self, field: &str) -> Result<&'a str, ConfigurationError> {
        self.string(field)?.ok_or_else(|| self.missing(field))
    }

    /// A boolean; absent means false.
    pub(crate) fn flag(&self, field: &str) -> Result<bool, ConfigurationError> {
        let Some(value) = self.get(field) else { return Ok(false) };
        value.as_bool().ok_or_else(|| self.invalid(field, FieldError::NotABoolean))
    }

    /// A finite number, 0 or more.
    pub(crate) fn number(&self, field: &str) -> Result<Option<f64>, ConfigurationError> {
        let Some(value) = self.get(field) else { return Ok(None) };
        let number = value.cast_f64().ok_or_else(|| self.invalid(field, FieldError::NotANumber))?;
        if number.is_finite() && number >= 0.0 {
            Ok(Some(number))
        } else {
            Err(self.invalid(field, FieldError::Negative))
        }
    }

    /// An integer, 0 or more; larger ones are cut to `u32::MAX`.
    pub(crate) fn count(&self, field: &str) -> Result<Option<u32>, ConfigurationError> {
        let Some(number) = self.number(field)? else { return Ok(None) };
        let integer = to_integer(number).ok_or_else(|| self.invalid(field, FieldError::NotAnInteger))?;
        Ok(Some(u32::try_from(integer).unwrap_or(u32::MAX)))
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
            None => Err(self.invalid(field, FieldError::NotAList)),
        }
    }
}

/// The number as an integer, if it has no fraction.
pub(super) fn to_integer(number: f64) -> Option<u64> {
    (number.fract() == 0.0).then_some(number as u64)
}

fn duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.min(MAX_SECONDS))
}
