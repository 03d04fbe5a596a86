//! The fronts: each translates one protocol to the engine's inputs and back, and decides nothing.

pub mod faktory;
pub mod health;
pub mod platform;
