//! A simulated disk that loses unsynced writes.

use std::collections::VecDeque;

#[derive(Debug)]
enum Write {
    Append { ticket: u64, records: Vec<Vec<u8>> },
    Checkpoint { records: Vec<Vec<u8>> },
}

/// A disk with durable records and unsynced writes.
#[derive(Debug, Default)]
pub struct Disk {
    durable: Vec<Vec<u8>>,
    /// Unsynced writes with their numbers, in order.
    unsynced: VecDeque<(u64, Write)>,
    last_number: u64,
}

impl Disk {
    /// Drops the unsynced writes, except for the first `kept_writes`, which become durable. Returns the durable
    /// records.
    pub fn recover(&mut self, kept_writes: usize) -> Vec<Vec<u8>> {
        for _ in 0..kept_writes {
            if let Some((_, write)) = self.unsynced.pop_front() {
                self.make_durable(write);
            }
        }
        self.unsynced.clear();
        self.durable.clone()
    }

    /// Returns the number of unsynced writes.
    pub fn unsynced_count(&self) -> usize {
        self.unsynced.len()
    }

    /// Queues records to be appended and returns the number of the write.
    pub fn append(&mut self, ticket: u64, records: Vec<Vec<u8>>) -> u64 {
        self.queue(Write::Append { ticket, records })
    }

    /// Queues a checkpoint and returns the number of the write.
    pub fn checkpoint(&mut self, records: Vec<Vec<u8>>) -> u64 {
        self.queue(Write::Checkpoint { records })
    }

    /// Makes all writes up to this number durable. Returns the newest ticket among them.
    pub fn sync(&mut self, number: u64) -> Option<u64> {
        let mut newest = None;
        while self.unsynced.front().is_some_and(|(unsynced, _)| *unsynced <= number) {
            if let Some((_, write)) = self.unsynced.pop_front() {
                newest = self.make_durable(write).or(newest);
            }
        }
        newest
    }

    fn queue(&mut self, write: Write) -> u64 {
        self.last_number += 1;
        self.unsynced.push_back((self.last_number, write));
        self.last_number
    }

    fn make_durable(&mut self, write: Write) -> Option<u64> {
        match write {
            Write::Append { ticket, records } => {
                self.durable.extend(records);
                Some(ticket)
            }
            Write::Checkpoint { records } => {
                self.durable = records;
                None
            }
        }
    }
}
