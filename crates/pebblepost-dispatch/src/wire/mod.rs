//! Byte protocol of the operators' simulator, translated into [`crate::api`].
//!
//! Numbers are little-endian and unpadded. A record is a code (u8), the size of its fields (u32) and the
//! fields. Unknown codes of valid length and unknown settings keys are skipped. Names of records and settings
//! are those of the protocol; the code uses the terms of [`crate::api`].
//!
//! * `records`: incoming events.
//! * `settings`: settings text of a launch.
//! * `reply`: outgoing actions.

mod reader;
mod records;
mod reply;
mod settings;

pub use records::{BATCH_HEADER_BYTES, BatchHeader, Message, parse_batch};
pub use reply::Reply;
pub use settings::parse_settings;

use thiserror::Error;

/// Error in an incoming message.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The message has fewer bytes than its fields need.
    #[error("truncated {0}")]
    Truncated(&'static str),
    /// The message has more bytes than its fields need, or a count that does not match its length.
    #[error("wrong length of {0}")]
    WrongLength(&'static str),
    /// A value is out of its range.
    #[error("value {1} in {0} is out of range")]
    BadValue(&'static str, u64),
    /// A line of the settings has no value, or a value that cannot be parsed.
    #[error("invalid setting {0}")]
    Setting(String),
    /// A setting is out of its range.
    #[error("{0}")]
    Range(String),
    /// An event is for an instance that was never launched.
    #[error("unknown instance {0}")]
    UnknownInstance(u32),
}

pub(crate) type Result<T> = std::result::Result<T, WireError>;
