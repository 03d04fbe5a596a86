//! The operator's configuration: validation, patches and the routing table.
//!
//! The section "The operator's API" of the protocol defines the format of documents and patches.
//!
//! A [`Configuration`] holds the JSON document of one generation and everything that is derived from it. Documents
//! are parsed and validated as `simd-json` values. Unknown fields are kept in the document and otherwise ignored.
//!
//! The crate does no I/O and reads no clock. It does not distribute configurations; `pebblepost-feed` does that.
//!
//! Dependencies between the modules are acyclic: `configuration` uses `parse` and `patch`, which use `model` and
//! `json`.

mod configuration;
mod equality;
mod error;
mod json;
mod model;
mod parse;
mod patch;
mod routing_table;

pub use configuration::Configuration;
pub use equality::is_same_document;
pub use error::{ConfigurationError, FieldError};
pub use json::{MAX_NESTING_LEVELS, estimated_parse_bytes, is_nested_too_deeply};
pub use model::{Limits, Route, RouteKind, Service};
