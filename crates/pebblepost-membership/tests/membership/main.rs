//! Tests of SWIM membership on a simulated network.

mod common;
mod datagrams;
mod pinned_bytes;
mod simulation;
