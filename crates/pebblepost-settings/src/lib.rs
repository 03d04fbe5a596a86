//! Reads and validates the settings file of a process. Errors name the file and the key.
//!
//! The section "Settings of a process" of the deployment guide documents the keys.
//!
//! The crate owns the keys of the file, their types and their defaults. Only the identity of the machine (`node_name`,
//! `ip`, `zone`) and `port_range` are required; other absent keys have defaults. An empty string counts as absent, and
//! unknown keys are ignored. The crate does not watch the file: programs read it again on a reload signal.

mod error;
mod model;
mod parse;
mod section;
mod settings;

pub use error::{SettingsError, ValueError};
pub use model::{Bounds, FaultTolerance, MachineLimits};
pub use settings::{RegionByZone, Settings};

/// Name of the environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "PEBBLEPOST_SETTINGS";
