//! Typed messages between the programs of the system, encoded in the binary format of `nanoserde`.
//!
//! The crate defines the messages on the links between processes, except those of the replication library, which are
//! carried as bytes in [`control::ToControl::Replication`] and [`batch::ToStore::Replication`]. It holds no state and
//! sends nothing: `pebblepost-link` frames and sends the messages.
//!
//! # Compatibility
//!
//! The encoding is positional: fields and variants are encoded in the order of their declaration, without names.
//! Renaming one changes no byte. Moving, adding or removing one makes programs of different builds unable to decode
//! each other's messages. Some types are also stored on the disks of the batch store. `tests/encodings.rs` checks the
//! bytes of every message.

pub mod batch;
pub mod control;
pub mod feed;
pub mod identity;

pub use identity::{DiskId, Member};
