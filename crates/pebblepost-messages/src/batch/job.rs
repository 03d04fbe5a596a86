//! Batch jobs and their items, as submitted.

use nanoserde::{DeBin, SerBin};

/// Request that scores the text of an item.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Scorer {
    /// `Request-Id` of the request.
    pub id: String,
    /// Host by which the request is routed.
    pub hostname: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request, decoded.
    pub body: Vec<u8>,
}

/// An item of a batch job, as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Item {
    /// Its id, sent as `Request-Id`.
    pub id: String,
    /// Path of its request.
    pub path: String,
    /// Headers of its request.
    pub headers: Vec<(String, String)>,
    /// Body of its request, decoded.
    pub body: Vec<u8>,
    /// Tokens of its prompt plus the most tokens of its output.
    pub tokens: u64,
    /// Group of samples: its items share their prompt.
    pub group: String,
    /// Request that scores its text, if any.
    pub scorer: Option<Scorer>,
}

/// Terms of the route of a batch job at the time of submission.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct JobTerms {
    /// Name of the route.
    pub route: String,
    /// Host of the route.
    pub hostname: String,
    /// Time after the first submission by which all results are due, in milliseconds.
    pub run_deadline_ms: u64,
    /// Time after the first submission from which on an item may be dead-lettered, in milliseconds.
    pub queue_ttl_ms: u64,
    /// Failed attempts after which an item may be dead-lettered.
    pub max_attempts: u32,
    /// Priority class, 0 highest.
    pub priority: u32,
    /// The whole text of an item must be made under one version of the weights.
    pub single_version: bool,
}

/// A batch job, as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Job {
    /// Its id.
    pub id: String,
    /// Terms of its route.
    pub terms: JobTerms,
    /// Step of the trainer.
    pub step: u64,
    /// Model that generates the texts; empty if the job names none.
    pub model: String,
    /// Oldest version of the weights that may generate its tokens.
    pub min_version: u64,
    /// Complete groups of samples that the trainer waits for.
    pub desired_groups: u32,
    /// The items, in the order submitted.
    pub items: Vec<Item>,
}
