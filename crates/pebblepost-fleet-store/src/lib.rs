//! The replicated store of a fleet: a group of *replicas* (the operator's *keepers*) that hold one
//! [`pebblepost_fleet::State`] by Raft (`openraft`) over durable storage (`redb`), and the client by which
//! dispatchers and operators reach them.
//!
//! The rules are in `pebblepost-fleet`: this package decides nothing about the fleet. It brings commands into
//! one order, applies them, stores them, and answers reads and heartbeats. Messages are JSON in frames, on
//! loopback only.
//!
//! Modules, each using only those before it:
//!
//! * [`clock`], [`raft_types`]: clocks, and the types of the Raft group.
//! * [`protocol`], [`connection`], [`client`]: messages, their frames, and how a replica is reached.
//! * [`storage`]: the log, the vote and the last snapshot on disk.
//! * [`state_machine`]: the state in memory, and its snapshots.
//! * [`replica`]: a running replica.

pub mod client;
pub mod clock;
pub mod connection;
mod network;
pub mod protocol;
pub mod raft_types;
pub mod replica;
pub mod state_machine;
pub mod storage;
