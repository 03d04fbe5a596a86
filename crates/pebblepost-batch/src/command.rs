//! Entries of the replicated log of a group of jobs.

use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_messages::batch::{ItemResult, Job};

/// Results of items of one job, in the order in which they get their positions.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct JobResults {
    /// Id of the job.
    pub job: String,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// What an entry changes.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Change {
    /// Takes a job into custody; no effect if it is there already.
    AddJob(Job),
    /// Lists results: each gets the next position of its job. A result of an item that is listed
    /// already, of an unknown item, or of a job that has ended has no effect.
    AddResults(Vec<JobResults>),
    /// Ends a job: nothing more of it is listed, and its bodies are dropped.
    EndJob {
        /// Id of the job.
        job: String,
    },
    /// Drops jobs that need not be kept any longer.
    ForgetJobs {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
}

/// An entry.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Command {
    /// The group's time at the primary that proposed it.
    pub now_ms: u64,
    /// The change.
    pub change: Change,
}

impl Command {
    /// The bytes of the entry.
    pub fn encode(&self) -> Vec<u8> {
        self.serialize_bin()
    }

    /// Reads the bytes of an entry.
    pub fn decode(entry: &[u8]) -> Result<Command, DeBinErr> {
        Command::deserialize_bin(entry)
    }
}
