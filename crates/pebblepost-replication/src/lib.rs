//! Primary-backup replication with an epoch register on witnesses, without I/O or clock.
//!
//! * [`record`]: the epoch record.
//! * [`register`]: the epoch register, a compare-and-swap register on the witnesses' disks.
//! * [`barrier`]: the first entry of a term.
//! * [`replica`]: a replica of a group: its log, its role, its lease.
//!
//! The caller hands in messages, completed writes and the time since an arbitrary start of its
//! monotonic clock, and carries out the outputs. Nothing here reads a clock, does I/O or starts a
//! thread; the same inputs give the same outputs.

pub mod barrier;
mod codec;
#[doc(hidden)]
pub mod guards;
mod random;
pub mod record;
pub mod register;
pub mod replica;
