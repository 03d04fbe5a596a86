//! Errors of reading and validating settings. Operators read the texts.

use crate::SETTINGS_VARIABLE;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// The settings cannot be read or are invalid.
///
/// The alternate form `{:#}` of the text appends the cause.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The environment variable [`SETTINGS_VARIABLE`] is not set.
    MissingVariable,
    /// The file cannot be read.
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
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
        /// Why the value is rejected.
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

/// Reason for which a value is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValueError {
    /// The key is required, but absent or empty.
    #[error("is missing")]
    Missing,
    /// The value is of another type than expected.
    #[error("must be {expected}, is of type {found}")]
    WrongType {
        /// Description of the expected type, with its article.
        expected: &'static str,
        /// Name of the TOML type found.
        found: &'static str,
    },
    /// The string is not an IP address.
    #[error("'{0}' is not an IP address")]
    NotAnIpAddress(String),
    /// The string is not an IP address with a port.
    #[error("'{0}' is not an IP address with a port")]
    NotASocketAddress(String),
    /// The list does not have two elements, but this many.
    #[error("must be a list of two ports, has length {0}")]
    WrongPortCount(usize),
    /// The integer is not a port number.
    #[error("{0} is not a port number from 1 to 65535")]
    NotAPort(i64),
    /// The first port of a range is greater than the last one.
    #[error("the range {first} to {last} is reversed")]
    ReversedRange {
        /// First port.
        first: u16,
        /// Last port.
        last: u16,
    },
    /// The range has fewer ports than the programs use.
    #[error("the range {first} to {last} has fewer than the {needed} ports needed")]
    RangeTooSmall {
        /// First port.
        first: u16,
        /// Last port.
        last: u16,
        /// Number of ports needed.
        needed: u16,
    },
    /// The integer is negative.
    #[error("must not be negative, is {0}")]
    NegativeInteger(i64),
    /// The number is negative.
    #[error("must not be negative, is {0}")]
    Negative(f64),
    /// The number is infinite or NaN.
    #[error("must be finite, is {0}")]
    NotFinite(f64),
    /// The number is 0 where a positive one is required.
    #[error("must be above 0")]
    Zero,
    /// The integer is larger than a `usize` can represent.
    #[error("is too large for an integer of this platform")]
    TooLarge,
    /// The time is longer than a `Duration` can represent.
    #[error("exceeds the longest duration that can be represented")]
    TooLong,
}
