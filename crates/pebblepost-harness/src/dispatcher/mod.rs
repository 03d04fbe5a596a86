//! The dispatchers under test: real `pebblepost` processes.
//!
//! * [`process`]: a process, its start, faults, readiness and CPU time
//! * [`settings`]: the settings that dispatchers are started with
//! * [`program`]: the build of the program

pub mod process;
pub mod program;
pub mod settings;

pub use process::{DispatcherProcess, Launch};
pub use program::build_program;
pub use settings::ZONES;
