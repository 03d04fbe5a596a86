//! A disk that loses what was not synced.

use std::collections::VecDeque;

#[derive(Debug)]
enum Write {
    Append { ticket: u64, records: Vec<Vec<u8>> },
    Checkpoint { records: Vec<Vec<u8>> },
}

/// A disk.
#[derive(Debug, Default)]
pub struct Disk {
    durable: Vec<Vec<u8>>,
    waiting: VecDeque<(u64, Write)>,
    last: u64,
}

impl Disk {
    /// The records after the loss of all writes but the synced ones and the next `synced_writes`.
    pub fn recover(&mut self, synced_writes: usize) -> Vec<Vec<u8>> {
        for _ in 0..synced_writes {
            if let Some((_, write)) = self.waiting.pop_front() {
                self.make_durable(write);
            }
        }
        self.waiting.clear();
        self.durable.clone()
    }

    /// Writes that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Queues records; the number of the write.
    pub fn append(&mut self, ticket: u64, records: Vec<Vec<u8>>) -> u64 {
        self.queue(Write::Append { ticket, records })
    }

    /// Queues a checkpoint; the number of the write.
    pub fn checkpoint(&mut self, records: Vec<Vec<u8>>) -> u64 {
        self.queue(Write::Checkpoint { records })
    }

    /// All up to this write is synced; the newest ticket among it.
    pub fn sync(&mut self, number: u64) -> Option<u64> {
        let mut newest = None;
        while self.waiting.front().is_some_and(|(waiting, _)| *waiting <= number) {
            if let Some((_, write)) = self.waiting.pop_front() {
                newest = self.make_durable(write).or(newest);
            }
        }
        newest
    }

    fn queue(&mut self, write: Write) -> u64 {
        self.last += 1;
        self.waiting.push_back((self.last, write));
        self.last
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
