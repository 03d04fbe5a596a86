//! Entries of the replicated log of a store group.
//!
//! The binary form is stored on disk and sent between replicas: variants and fields must keep their
//! order, and new variants must be appended. Names may change, as they are not part of the binary form.

use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_messages::batch::{ItemResult, Job};

/// Error returned when bytes do not decode to a log entry.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(#[from] DeBinErr);

/// Results of items of one job, in the order in which positions are assigned to them.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct JobResults {
    /// Id of the job.
    pub job: String,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// A change to the state of a store group.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Change {
    /// Stores a job. It has no effect if a job with this id is already stored.
    AddJob(Job),
    /// Appends results; each takes the next position of its job. A result is ignored if its item is
    /// unknown or already has a result, or if its job has ended.
    AppendResults(Vec<JobResults>),
    /// Ends a job: its items are dropped and later results are ignored.
    EndJob {
        /// Id of the job.
        job: String,
    },
    /// Deletes jobs whose retention period has passed.
    DeleteJobs {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Command {
    /// Store group's time at the primary when it proposed the entry, in milliseconds.
    pub now_ms: u64,
    /// The change.
    pub change: Change,
}

impl Command {
    /// Creates an entry that only records the time. It also serves as the barrier of a term.
    ///
    /// It is encoded as a deletion of no jobs, so that earlier builds can decode it.
    pub fn time_stamp(now_ms: u64) -> Command {
        Command { now_ms, change: Change::DeleteJobs { jobs: Vec::new() } }
    }

    /// Encodes the entry.
    pub fn encode(&self) -> Vec<u8> {
        self.serialize_bin()
    }

    /// Decodes an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are truncated or contain an unknown variant of [`Change`].
    pub fn decode(entry: &[u8]) -> Result<Command, DecodeError> {
        Ok(Command::deserialize_bin(entry)?)
    }
}
