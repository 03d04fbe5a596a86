//! The dispatcher by hand-driven events: decisions are judged by the actions alone.

mod classes;
mod fleet;
mod node;
mod probing;
mod requests;
mod reservations;
mod rules;
mod workers;
