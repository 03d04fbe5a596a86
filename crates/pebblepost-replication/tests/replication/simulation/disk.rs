//! A simulated disk. Writes become durable in order after a latency; a crash may lose those that are
//! not durable.

use super::random::Random;
use pebblepost_replication::register::WitnessState;
use pebblepost_replication::replica::DiskRecord;
use std::collections::VecDeque;

/// The component that waits for a write, with the token of the write.
#[derive(Clone, Copy, Debug)]
pub enum Waiter {
    Register(u64),
    Replica(u64),
    /// A checkpoint, which replaces the earlier records of the replica.
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
    pub stalled_until: u64,
}

impl SimulatedDisk {
    /// Queues a write, and returns the time at which it becomes durable unless a fault intervenes.
    pub fn write(&mut self, now: u64, latency: u64, waiter: Waiter, stored: Stored) -> u64 {
        self.pending.push_back((waiter, stored));
        self.busy_until = self.busy_until.max(now).max(self.stalled_until) + latency;
        self.busy_until
    }

    /// Makes the oldest pending write durable.
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

    /// Crashes the disk: a random number of the oldest pending writes become durable, and the rest are
    /// lost.
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
