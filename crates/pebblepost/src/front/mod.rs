//! Protocol front ends. Each translates one protocol to the engine's inputs and the engine's outputs back; all scheduling
//! decisions are made by the engine.

pub mod faktory;
pub mod health;
pub mod platform;
