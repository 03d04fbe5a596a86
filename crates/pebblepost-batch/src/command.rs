//! Entries of the replicated log of a group of jobs.
//!
//! The binary form is stored on disk and sent between replicas: variants and fields keep their order;
//! new variants are appended. Names are free, as they are not written.

use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_messages::batch::{ItemResult, Job};

/// Bytes that are not a log entry of this program.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(#[from] DeBinErr);

/// Results of items of one job, in the order in which they get their positions.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct JobResults {
    /// Id of the job.
    pub job: String,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// A change of a group's state.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Change {
    /// Stores a job. Idempotent: no effect if a job with this id is stored.
    AddJob(Job),
    /// Appends results: each gets the next position of its job. A result of an item that has one, of
    /// an unknown item, or of a job that has ended has no effect.
    AppendResults(Vec<JobResults>),
    /// Ends a job: no more results are appended, and its items are dropped.
    EndJob {
        /// Id of the job.
        job: String,
    },
    /// Deletes jobs whose retention time has passed.
    DeleteJobs {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Command {
    /// The group's time at the primary that proposed it, in milliseconds.
    pub now_ms: u64,
    /// The change.
    pub change: Change,
}

impl Command {
    /// An entry without effect, for the barrier of a term. Its stored form is one that builds before it can read: no job
    /// is deleted.
    pub fn barrier(now_ms: u64) -> Command {
        Command { now_ms, change: Change::DeleteJobs { jobs: Vec::new() } }
    }

    /// The bytes of the entry.
    pub fn encode(&self) -> Vec<u8> {
        self.serialize_bin()
    }

    /// Reads an entry from its bytes.
    ///
    /// # Errors
    ///
    /// If the bytes end early or name an unknown change.
    pub fn decode(entry: &[u8]) -> Result<Command, DecodeError> {
        Ok(Command::deserialize_bin(entry)?)
    }
}
