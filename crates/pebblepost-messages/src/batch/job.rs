//! Batch jobs and their items, as submitted.

use nanoserde::{DeBin, SerBin};

/// Maximum size of an encoded job. The messages between programs that contain it must fit their links, whose frames
/// have 48 MiB at most.
pub const MAX_ENCODED_JOB_BYTES: usize = 47 * 1024 * 1024;

/// A request that scores the generated text of an item.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Scorer {
    /// `Request-Id` of the request.
    pub id: String,
    /// Host name by which the request is routed.
    pub hostname: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request, decoded.
    pub body: Vec<u8>,
}

/// An item of a batch job, as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Item {
    /// Id of the item, sent as `Request-Id`.
    pub id: String,
    /// Path of the request for the item.
    pub path: String,
    /// Headers of the request for the item.
    pub headers: Vec<(String, String)>,
    /// Body of the request for the item, decoded.
    pub body: Vec<u8>,
    /// Number of prompt tokens plus the maximum number of output tokens.
    pub tokens: u64,
    /// Id of the group of samples, whose items share one prompt.
    pub group: String,
    /// Request that scores the generated text, if any.
    pub scorer: Option<Scorer>,
}

/// Terms under which a batch job runs: those of its route at the time of submission.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct JobTerms {
    /// Name of the route.
    pub route: String,
    /// Host name of the route.
    pub hostname: String,
    /// Time after the first submission by which all results are due, in milliseconds.
    pub run_deadline_ms: u64,
    /// Time after the first submission from which an item may be dead-lettered, in milliseconds.
    pub queue_ttl_ms: u64,
    /// Number of failed attempts after which an item may be dead-lettered.
    pub max_attempts: u32,
    /// Priority class; 0 is the highest.
    pub priority: u32,
    /// Whether the whole text of an item must be generated under one weight version.
    pub single_version: bool,
}

/// A batch job, as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Job {
    /// Id of the job.
    pub id: String,
    /// Terms under which the job runs.
    pub terms: JobTerms,
    /// Training step for which the job was submitted.
    pub step: u64,
    /// Name of the model that generates the texts; empty if the job names none.
    pub model: String,
    /// Oldest weight version that may generate tokens of the job.
    pub min_version: u64,
    /// Number of complete groups of samples that the trainer waits for.
    pub desired_groups: u32,
    /// Items in the order of submission.
    pub items: Vec<Item>,
}
