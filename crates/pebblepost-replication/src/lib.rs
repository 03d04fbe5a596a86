//! Primary-backup replication with an epoch register on witnesses, without I/O or clock.
//!
//! * [`record`]: the epoch record.
//! * [`register`]: the epoch register, a compare-and-swap register stored on the witnesses' disks.
//! * [`barrier`]: the no-op entry that starts a term.
//! * [`replica`]: a replica of a group with its log, role and lease.
//!
//! The caller passes in messages, completed writes and the time of its monotonic clock, measured from
//! an arbitrary origin, and carries out the outputs. The crate reads no clock, does no I/O and starts
//! no thread. It is deterministic: the same inputs give the same outputs.

pub mod barrier;
mod codec;
#[doc(hidden)]
pub mod guards;
mod random;
pub mod record;
pub mod register;
pub mod replica;
