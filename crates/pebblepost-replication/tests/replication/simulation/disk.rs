//! A disk: writes become durable in order, after a time; what is not durable may be lost.

use super::random::Random;
use pebblepost_replication::register::WitnessState;
use pebblepost_replication::replica::DiskRecord;
use std::collections::VecDeque;

/// Who waits for a write.
#[derive(Clone, Copy, Debug)]
pub enum Waiter {
    Register(u64),
    Replica(u64),
    /// A checkpoint: replaces what the replica wrote before.
    Checkpoint,
}

#[derive(Debug)]
pub enum Stored {
    Witness(WitnessState),
    Replica(Vec<DiskRecord>),
}

#[derive(Debug, Default)]
pub struct SimulatedDisk {
    witness: Option<WitnessState>,
    replica: Vec<DiskRecord>,
    pending: VecDeque<(Waiter, Stored)>,
    pub busy_until: u64,
    pub hangs_until: u64,
}

impl SimulatedDisk {
    /// Takes a write; when it will be durable if nothing intervenes.
    pub fn write(&mut self, now: u64, latency: u64, waiter: Waiter, stored: Stored) -> u64 {
        self.pending.push_back((waiter, stored));
        self.busy_until = self.busy_until.max(now).max(self.hangs_until) + latency;
        self.busy_until
    }

    /// The oldest write is durable.
    pub fn complete_one(&mut self) -> Option<Waiter> {
        let (waiter, stored) = self.pending.pop_front()?;
        match stored {
            Stored::Witness(state) => self.witness = Some(state),
            Stored::Replica(records) => {
                if matches!(waiter, Waiter::Checkpoint) {
                    self.replica.clear();
                }
                self.replica.extend(records);
            }
        }
        Some(waiter)
    }

    /// The process or the machine dies: some of the unfinished writes are there, the rest never
    /// happened.
    pub fn lose_pending(&mut self, random: &mut Random) {
        let kept = random.index(self.pending.len() + 1);
        for _ in 0..kept {
            self.complete_one();
        }
        self.pending.clear();
        self.busy_until = 0;
    }

    pub fn wipe(&mut self) {
        *self = Self::default();
    }

    pub fn replica_records(&self) -> usize {
        self.replica.len()
    }

    pub fn recovered(&self) -> (Option<WitnessState>, Vec<DiskRecord>) {
        (self.witness.clone(), self.replica.clone())
    }
}
