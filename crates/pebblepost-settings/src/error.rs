//! Why settings are rejected. The texts are part of the operator's interface.

use crate::SETTINGS_VARIABLE;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// Settings cannot be read or are invalid. The alternate form `{:#}` appends the cause.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The environment variable is not set.
    MissingVariable,
    /// The file cannot be read.
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file is not valid TOML.
    InvalidToml {
        /// Name of the file.
        file: String,
        /// Message of the parser.
        message: String,
    },
    /// The value of a key is missing or invalid.
    InvalidValue {
        /// Name of the file.
        file: String,
        /// Path of the key, such as `bounds.lease_ms`.
        key: String,
        /// What is wrong with the value.
        reason: ValueError,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::MissingVariable => {
                write!(formatter, "the variable {SETTINGS_VARIABLE} names no settings file")
            }
            SettingsError::Read { path, .. } => {
                write!(formatter, "reading the settings file {}", path.display())
            }
            SettingsError::InvalidToml { file, message } => {
                write!(formatter, "{file}: not valid TOML: {message}")
            }
            SettingsError::InvalidValue { file, key, reason } => {
                write!(formatter, "{file}: `{key}`: {reason}")
            }
        }?;
        match self.source() {
            Some(cause) if formatter.alternate() => write!(formatter, ": {cause}"),
            _ => Ok(()),
        }
    }
}

/// What is wrong with a value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValueError {
    /// The key is required.
    #[error("is missing")]
    Missing,
    /// The value is of another type.
    #[error("must be {expected}, is of type {found}")]
    WrongType {
        /// Description of the expected type.
        expected: &'static str,
        /// Name of the TOML type found.
        found: &'static str,
    },
    /// Not an IP address.
    #[error("'{0}' is not an IP address")]
    NotAnIpAddress(String),
    /// Not an address with a port.
    #[error("'{0}' is not an address with a port")]
    NotASocketAddress(String),
    /// Not two ports, but this many.
    #[error("must be a list of two ports, has {0}")]
    WrongPortCount(usize),
    /// Not a port number.
    #[error("{0} is not a port")]
    NotAPort(i64),
    /// The first port of a range is above the last one.
    #[error("the range {first} to {last} is reversed")]
    ReversedRange {
        /// First port.
        first: u16,
        /// Last port.
        last: u16,
    },
    /// A range has too few ports.
    #[error("the range {first} to {last} has fewer than the {needed} ports needed")]
    RangeTooSmall {
        /// First port.
        first: u16,
        /// Last port.
        last: u16,
        /// Ports needed.
        needed: u16,
    },
    /// A negative integer.
    #[error("must not be negative, is {0}")]
    NegativeInteger(i64),
    /// A negative number.
    #[error("must not be negative, is {0}")]
    Negative(f64),
    /// Infinite, or not a number.
    #[error("must be finite, is {0}")]
    NotFinite(f64),
    /// Zero where a positive number is required.
    #[error("must be above 0")]
    Zero,
    /// Larger than the platform can represent.
    #[error("is too large")]
    TooLarge,
    /// A time longer than a `Duration` can represent.
    #[error("is too long a time")]
    TooLong,
}
