//! Tests of the dispatcher. Each test feeds events to it and checks only the actions that it returns.

mod classes;
mod fleet;
mod node;
mod probing;
mod requests;
mod reservations;
mod rules;
mod workers;
