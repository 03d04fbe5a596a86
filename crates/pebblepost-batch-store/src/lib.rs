//! Program of the storage machines, which replicate batch jobs and lease their items to proxies.
//!
//! * [`store`]: what the program does, without I/O or clock.
//! * `program`: links, disk, timers and signals; it carries out the outputs of [`store`].

mod program;
pub mod store;

pub use program::run;
