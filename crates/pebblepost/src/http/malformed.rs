//! The error of messages that cannot be read.

use thiserror::Error;

/// A message that cannot be read; carries the status code that reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("malformed HTTP message, reported as status {0}")]
pub struct Malformed(pub u16);
