//! Program of the storage machines, which replicate batch jobs and lease their items to proxies.
//!
//! * [`store`]: the logic of a storage machine, without I/O or clock.
//! * `program`: the links, disk, timers and signals; it executes the outputs of [`store`].

mod program;
pub mod store;

pub use program::run;
