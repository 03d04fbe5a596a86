//! Typed messages between the programs of the system, in `nanoserde` binary.
//!
//! The crate owns the form of everything that crosses a process boundary, except the messages of the replication
//! library, which travel as bytes inside [`control::ToControl::Replication`] and [`batch::ToStore::Replication`].
//! It holds no state and never sends anything: `pebblepost-link` frames and sends.
//!
//! The encoding is positional: fields and variants are encoded in the order of their declaration, without names.
//! Renaming one changes no byte; moving, adding or removing one does, and programs of two builds would no longer
//! understand each other. Some types are also stored on the disks of the batch store. `tests/encodings.rs` pins all
//! bytes.

pub mod batch;
pub mod control;
pub mod feed;
pub mod identity;

pub use identity::{DiskId, Member};
