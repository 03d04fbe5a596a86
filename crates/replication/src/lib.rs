//! Primary-backup replication with an epoch register on witnesses, without I/O or clock.
//!
//! * [`record`]: the epoch record.
//! * [`register`]: the epoch register, a compare-and-swap register on the witnesses' disks.
//! * [`replica`]: a replica of a group: its log, its role, its lease.
//!
//! The caller hands in messages, completed writes and the time since an arbitrary start of its
//! steady clock, and carries out the outputs.

pub mod record;
pub mod register;
pub mod replica;
