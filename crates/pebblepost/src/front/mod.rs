//! The fronts: from a wire to the core and back, and nothing else.

pub mod faktory;
pub mod platform;
