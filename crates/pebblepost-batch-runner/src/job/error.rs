//! Reasons why a submitted job is not taken.

use pebblepost_configuration::MAX_NESTING_LEVELS;
use pebblepost_memory::OutOfMemory;
use pebblepost_messages::batch::MAX_ENCODED_JOB_BYTES;
use thiserror::Error;

/// Reason why a body is not a valid batch job. The text is sent to the client.
#[derive(Debug, Error)]
pub enum JobError {
    /// The body is not valid JSON.
    #[error("request body is not valid JSON: {0}")]
    NotJson(String),
    /// The memory budget does not allow the job.
    #[error(transparent)]
    OutOfMemory(OutOfMemory),
    /// The encoded job would be too large for the messages to the stores.
    #[error("job has more than {MAX_ENCODED_JOB_BYTES} bytes when encoded")]
    TooLarge,
    /// The body is nested so deeply that parsing it could overflow the stack.
    #[error("request body has more than {MAX_NESTING_LEVELS} levels of nesting")]
    NestedTooDeeply,
    /// The body is JSON, but not an object.
    #[error("request body is not a JSON object")]
    NotAnObject,
    /// The list of items is missing or not an array.
    #[error("`requests` is missing or not an array")]
    RequestsNotAnArray,
    /// A field of the job is invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// An item is invalid.
    #[error("item {position}: {cause}")]
    Item {
        /// Index of the item in the list, from 0.
        position: usize,
        /// Reason why the item is invalid.
        cause: ItemError,
    },
}

/// Reason why an item of a job is invalid.
#[derive(Debug, Error)]
pub enum ItemError {
    /// A field of the item is invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// A field of the item's scorer is invalid.
    #[error("scorer: {0}")]
    Scorer(FieldError),
    /// Another item of the job has the same id.
    #[error("`id` is already used by another item of the job")]
    DuplicateId,
}

/// Reason why a field is invalid.
#[derive(Debug, Error)]
pub enum FieldError {
    /// A required string is missing or empty.
    #[error("`{0}` is missing or empty")]
    Missing(&'static str),
    /// The field is not a string.
    #[error("`{0}` is not a string")]
    NotAString(&'static str),
    /// The field is not an unsigned integer.
    #[error("`{0}` is not an unsigned integer")]
    NotAnUnsignedInteger(&'static str),
    /// The field is not valid base64.
    #[error("`{0}` is not valid base64")]
    NotBase64(&'static str),
    /// `path` does not start with `/` or is not valid in a URI.
    #[error("`path` is not a URI path starting with `/`")]
    NotAPath,
    /// `headers` is not an object.
    #[error("`headers` is not a JSON object")]
    HeadersNotAnObject,
    /// The value of a header is not a string.
    #[error("header `{0}` is not a string")]
    HeaderNotAString(String),
}
