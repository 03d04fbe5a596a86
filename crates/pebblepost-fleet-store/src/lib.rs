//! The replicated store of a fleet's state, and the client through which dispatchers and operators use it.
//!
//! A group of *replicas* replicates one [`pebblepost_fleet::State`] with Raft (`openraft`) and stores it
//! durably (`redb`). The operators' commands, files and error messages call a replica a *keeper*.
//!
//! The rules of the fleet are in `pebblepost-fleet`; this package makes no decisions about the fleet. It
//! orders commands in the Raft log, applies and stores them, and responds to reads and heartbeats. Messages
//! are framed JSON and are sent on loopback only.
//!
//! Each module uses only the modules before it:
//!
//! * [`clock`], [`raft_types`]: the clocks, and the types of the Raft group.
//! * [`protocol`], [`connection`], [`client`]: messages, framed connections, and the client of the group.
//! * [`storage`]: the log, the vote and the last snapshot on disk.
//! * [`state_machine`]: the state in memory and its snapshots.
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
