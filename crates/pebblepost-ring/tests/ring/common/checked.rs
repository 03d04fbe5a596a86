//! A journal on a simulated disk. Each recovery is checked against the records known to be durable.

use super::{
    Random,
    simulated_disk::{Faults, Omissions, SimulatedDisk},
};
use pebblepost_ring::{
    error::RingError,
    format::Checksum,
    journal::{Journal, Options, Recovered},
};

pub const SEGMENT_BYTES: u32 = 1024;
pub const MAX_BYTES: u64 = 24 * 1024;

type Records = Vec<Vec<u8>>;

/// A guarantee of the journal that a schedule violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The journal could not be opened, for a reason other than a simulated fault.
    OpenFailed(String),
    /// The ring was formatted anew or has another identity.
    IdentityChanged { from: u64, to: u64 },
    /// The ring had no space for a checkpoint.
    CheckpointRejected,
    /// The recovered records are neither the confirmed ones nor those with the effect of one of the
    /// unconfirmed attempts.
    WrongRecords { confirmed: usize, attempts: usize, recovered: Vec<u64> },
}

/// A write that failed, so that recovery may or may not find it.
#[derive(Clone, Debug)]
enum Attempt {
    Append(Records),
    Checkpoint(Records),
}

/// Parameters of a random schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    pub seed: u64,
    pub steps: u64,
    pub faults: Faults,
    pub omissions: Omissions,
    pub checksum: Option<Checksum>,
}

/// A journal with a model of the records that it must recover.
pub struct CheckedJournal {
    pub disk: SimulatedDisk,
    schedule: Schedule,
    random: Random,
    journal: Option<Journal<SimulatedDisk>>,
    identity: Option<u64>,
    confirmed: Records,
    attempts: Vec<Attempt>,
    record_count: u64,
}

impl CheckedJournal {
    pub fn new(schedule: Schedule) -> CheckedJournal {
        let disk = SimulatedDisk::new(schedule.seed);
        disk.set_omissions(schedule.omissions);
        CheckedJournal {
            disk,
            schedule,
            random: Random(schedule.seed ^ 0x5eed),
            journal: None,
            identity: None,
            confirmed: Vec::new(),
            attempts: Vec::new(),
            record_count: 0,
        }
    }

    /// Runs a random schedule of writes, process kills and power losses.
    pub fn run(&mut self) -> Result<(), Violation> {
        for _ in 0..self.schedule.steps {
            if self.random.one_in(6) {
                let operations = 1 + self.random.below(30);
                self.disk.lose_power_after(Some(operations));
            }
            self.step()?;
            if self.disk.is_powered_off() || self.random.one_in(25) {
                self.journal = None;
                self.disk.restore_power();
            } else if self.random.one_in(25) {
                self.journal = None;
            }
        }
        self.disk.set_faults(Faults::default());
        self.disk.restore_power();
        self.journal = None;
        self.step()
    }

    /// Opens the journal if it is closed, otherwise writes to it.
    pub fn step(&mut self) -> Result<(), Violation> {
        let Some(journal) = &mut self.journal else { return self.open() };
        if journal.journal_bytes() > journal.capacity() / 2 || self.random.one_in(12) {
            self.checkpoint()
        } else {
            self.append()
        }
    }

    /// Opens the journal and checks the recovered records. A simulated fault leaves it closed.
    pub fn open(&mut self) -> Result<(), Violation> {
        let mut options = Options::new(MAX_BYTES, self.random.next());
        options.segment_bytes = Some(SEGMENT_BYTES);
        if let Some(checksum) = self.schedule.checksum {
            options.checksum = checksum;
        }
        let faults = if self.random.one_in(2) { self.schedule.faults } else { Faults::default() };
        self.disk.set_faults(faults);
        match Journal::open(self.disk.clone(), options) {
            Ok((journal, recovered)) => {
                self.check(recovered)?;
                self.journal = Some(journal);
                self.disk.set_faults(self.schedule.faults);
                Ok(())
            }
            Err(RingError::Storage { source, .. }) if source.kind() == std::io::ErrorKind::Other => Ok(()),
            Err(error) => Err(Violation::OpenFailed(error.to_string())),
        }
    }

    /// Appends records. If the first attempt fails, it is retried once with one more record.
    fn append(&mut self) -> Result<(), Violation> {
        let mut records = self.new_records();
        for _ in 0..2 {
            let Some(journal) = &mut self.journal else { return Ok(()) };
            match journal.append(&records) {
                Ok(()) => {
                    self.confirmed.append(&mut records);
                    self.attempts.clear();
                    return journal.preallocate().or(Ok(()));
                }
                Err(RingError::Full { .. }) => return self.checkpoint(),
                Err(_) => self.attempts.push(Attempt::Append(records.clone())),
            }
            records.push(self.new_record());
        }
        Ok(())
    }

    fn checkpoint(&mut self) -> Result<(), Violation> {
        let kept_count = self.random.below(6).min(self.confirmed.len() as u64) as usize;
        let mut records = self.confirmed[self.confirmed.len() - kept_count..].to_vec();
        records.insert(0, self.new_record_of(8));
        let Some(journal) = &mut self.journal else { return Ok(()) };
        match journal.checkpoint(&records) {
            Ok(()) => {
                self.confirmed = records;
                self.attempts.clear();
            }
            Err(RingError::Full { .. }) => return Err(Violation::CheckpointRejected),
            Err(_) => self.attempts.push(Attempt::Checkpoint(records)),
        }
        Ok(())
    }

    fn check(&mut self, recovered: Recovered) -> Result<(), Violation> {
        if let Some(identity) = self.identity
            && (recovered.is_new || recovered.identity != identity)
        {
            return Err(Violation::IdentityChanged { from: identity, to: recovered.identity });
        }
        self.identity = Some(recovered.identity);
        let confirmed = &self.confirmed;
        let is_allowed = recovered.records == *confirmed
            || self.attempts.iter().any(|attempt| explains(confirmed, attempt, &recovered.records));
        if !is_allowed {
            return Err(Violation::WrongRecords {
                confirmed: confirmed.len(),
                attempts: self.attempts.len(),
                recovered: recovered.records.iter().map(|record| record_number(record)).collect(),
            });
        }
        self.confirmed = recovered.records;
        self.attempts.clear();
        Ok(())
    }

    fn new_records(&mut self) -> Records {
        let count = 1 + self.random.below(4);
        (0..count).map(|_| self.new_record()).collect()
    }

    /// Most records have the same length, so that stale frames in reused files align with new ones.
    fn new_record(&mut self) -> Vec<u8> {
        let length = match self.random.below(10) {
            0 => self.random.below(2_000),
            1 => 8,
            _ => 100,
        };
        self.new_record_of(length.max(8) as usize)
    }

    fn new_record_of(&mut self, length: usize) -> Vec<u8> {
        self.record_count += 1;
        let mut record = vec![self.record_count as u8; length];
        record[..8].copy_from_slice(&self.record_count.to_le_bytes());
        record
    }
}

/// Returns whether an unconfirmed attempt explains the recovered records.
fn explains(confirmed: &Records, attempt: &Attempt, recovered: &Records) -> bool {
    match attempt {
        Attempt::Checkpoint(records) => recovered == records,
        Attempt::Append(records) => {
            recovered.starts_with(confirmed) && records.starts_with(&recovered[confirmed.len()..])
        }
    }
}

/// Returns the number in the first 8 bytes of a record.
fn record_number(record: &[u8]) -> u64 {
    record.iter().take(8).rev().fold(0, |value, byte| value << 8 | u64::from(*byte))
}
