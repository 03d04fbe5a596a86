//! The operator's configuration: validation, patches and the routing table.
//!
//! The format of documents and patches is that of the protocol, section "The operator's API".
//!
//! The crate owns the JSON document of one generation and everything derived from it. A document is parsed and
//! validated as `simd-json` values; fields that are not known are kept in the document and otherwise ignored.
//! The crate never does I/O, holds no clock, and never distributes a configuration: `pebblepost-feed` does.
//!
//! Dependencies point downwards: [`Configuration`] uses the parsers and the patch, these use the model and the
//! JSON helpers.

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
pub use model::{Limits, Route, RouteKind, Service};
