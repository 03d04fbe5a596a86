//! Typed messages between the programs of the system, in `nanoserde` binary.
//!
//! Everything that crosses a process border is declared here, except the messages of the
//! replication library, which travel inside [`control::ToControl::Replication`] and
//! [`batch::ToStore::Replication`] as bytes.

pub mod batch;
pub mod control;
pub mod feed;
pub mod identity;

pub use identity::{DiskId, Member};
