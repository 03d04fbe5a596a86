//! The settings file of a process: typed and validated, with one error that names the file and the key.
//!
//! The keys are those of the deployment guide, section "Settings of a process".
//!
//! The crate owns the keys of the file, their types and their defaults. It never watches the file: programs read it
//! again on a reload signal. Unknown keys are ignored. Absent keys have defaults, and an empty string counts
//! as absent; only the identity of the machine (`node_name`, `ip`, `zone`) and `port_range` are required.

mod error;
mod model;
mod parse;
mod section;
mod settings;

pub use error::{SettingsError, ValueError};
pub use model::{Bounds, FaultTolerance, MachineLimits};
pub use settings::{RegionByZone, Settings};

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "PEBBLEPOST_SETTINGS";
