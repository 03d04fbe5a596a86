//! The agreed store: a group of *keepers* that hold one [`pebblepost_fleet::State`] by Raft (`openraft`) over durable
//! storage (`redb`), and the client by which dispatchers and operators reach them.
//!
//! The rules are in `pebblepost-fleet`; this package only carries commands to where they are applied in one order, and
//! keeps them. Frames are JSON behind a length of four bytes, on loopback only.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod clock;
pub mod disk;
pub mod group;
pub mod keeper;
pub mod machine;
mod network;
pub mod wire;
