//! The epoch register: a compare-and-swap register that lives on the witnesses' disks.
//!
//! Interface agreed with the programs; `Time` is the caller's steady clock.

use crate::record::EpochRecord;
use nanoserde::{DeBin, SerBin};
use pebblepost_messages::{DiskId, Member};
use std::time::Duration;

/// What a witness keeps on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct WitnessState {
    /// Highest ballot promised.
    pub promised: Ballot,
    /// Ballot under which `accepted` was accepted.
    pub accepted_ballot: Ballot,
    /// Newest accepted record.
    pub accepted: Option<EpochRecord>,
}

/// Number of an attempt to change the register: round, then the disk that makes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Ballot {
    /// Round.
    pub round: u64,
    /// Disk of the proposer.
    pub proposer: DiskId,
}

/// Something the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum RegisterOutput {
    /// Send a message (to itself as well).
    Send {
        /// Receiver.
        to: Member,
        /// Encoded message.
        message: Vec<u8>,
    },
    /// Write the witness state; call [`Register::persisted`] with the token once it is on disk.
    Persist {
        /// Comes back.
        token: u64,
        /// The state.
        state: WitnessState,
    },
    /// A record newer than all before is known to be chosen.
    Chosen(EpochRecord),
    /// The proposal failed: another record was chosen, or no majority answered in time.
    Rejected {
        /// Epoch number that was proposed.
        epoch: u64,
    },
}

/// A witness and a proposer of one register.
#[derive(Debug)]
pub struct Register;

#[allow(unused_variables)]
impl Register {
    /// A register at this machine. `recovered` is what its disk held; `founding` is the first
    /// record where this disk is a founder's (used only if nothing was recovered).
    pub fn new(me: Member, recovered: Option<WitnessState>, founding: Option<EpochRecord>, seed: u64) -> Self {
        todo!()
    }
    /// The newest record known to be chosen (the founding one at first), if any.
    pub fn chosen(&self) -> Option<&EpochRecord> {
        todo!()
    }
    /// Proposes a record that follows the chosen one: `expected` is its epoch. One at a time.
    pub fn propose(&mut self, now: Duration, expected: u64, record: EpochRecord) {
        todo!()
    }
    /// Asks a majority for the newest chosen record (completes one that is half accepted).
    pub fn refresh(&mut self, now: Duration) {
        todo!()
    }
    /// A message arrived.
    pub fn receive(&mut self, now: Duration, from: &Member, message: &[u8]) {
        todo!()
    }
    /// A write is on disk.
    pub fn persisted(&mut self, now: Duration, token: u64) {
        todo!()
    }
    /// Time passed: retries and timeouts. To be called every 50 ms or so.
    pub fn tick(&mut self, now: Duration) {
        todo!()
    }
    /// Takes what the caller must do.
    pub fn take_outputs(&mut self) -> Vec<RegisterOutput> {
        todo!()
    }
}
