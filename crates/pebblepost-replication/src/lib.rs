//! Primary-backup replication with an epoch register on witnesses, without I/O or clock.
//!
//! * [`record`]: the epoch record.
//! * [`register`]: the epoch register, a compare-and-swap register on the witnesses' disks.
//! * [`replica`]: a replica of a group: its log, its role, its lease.
//! * [`witnesses`]: the next step of a change of the witness set.
//!
//! The caller hands in messages, completed writes and the time since an arbitrary start of its
//! steady clock, and carries out the outputs.

mod codec;
#[doc(hidden)]
pub mod guards;
mod random;
pub mod record;
pub mod register;
pub mod replica;
pub mod witnesses;
