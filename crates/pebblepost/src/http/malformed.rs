//! The error for messages that cannot be parsed.

use thiserror::Error;

/// A message that cannot be parsed, with the status code to report for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("malformed HTTP message, reported with status {0}")]
pub struct Malformed(pub u16);
