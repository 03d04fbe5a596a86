//! The byte protocol of the operators' simulator, translated into [`crate::api`].
//!
//! Little-endian and unpadded; a record is a code (u8), the size of its fields (u32) and the fields. Unknown
//! codes of valid length and unknown settings keys are skipped. Names of records and settings are the
//! protocol's own; the code beside them uses the terms of [`crate::api`].
//!
//! * `records`: events that come in.
//! * `settings`: the settings text of a launch.
//! * `reply`: actions that go out.

mod reader;
mod records;
mod reply;
mod settings;

pub use records::{BATCH_HEADER, BatchHeader, Message, parse_batch};
pub use reply::Reply;
pub use settings::parse_settings;

use thiserror::Error;

/// Why a message could not be understood.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// Fewer bytes than the fields need.
    #[error("truncated {0}")]
    Truncated(&'static str),
    /// More bytes than the fields need, or a count that does not add up.
    #[error("wrong length of {0}")]
    WrongLength(&'static str),
    /// A value outside its range.
    #[error("bad value {1} in {0}")]
    BadValue(&'static str, u64),
    /// A settings line without its value, or with one that does not parse.
    #[error("unparsable setting {0}")]
    Setting(String),
    /// A setting outside its range.
    #[error("{0}")]
    Range(String),
    /// An event for an instance that was never launched.
    #[error("unknown instance {0}")]
    UnknownInstance(u32),
}

pub(crate) type Result<T> = std::result::Result<T, WireError>;
