//! Uncommitted log entries that this machine proposed as primary, and the callers that wait for them.

use super::outbox::LinkId;
use std::collections::BTreeMap;

/// Identifies a call that waits for an answer: its link and its number on that link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    pub(crate) link: LinkId,
    pub(crate) call: u64,
}

/// A proposed change.
#[derive(Debug)]
pub(crate) enum Proposal {
    /// Stores a job with this estimated memory.
    AddJob { job: String, estimated_bytes: u64, callers: Vec<Caller> },
    /// Appends results to these jobs.
    AppendResults { jobs: Vec<String> },
    /// Ends a job.
    EndJob { job: String, callers: Vec<Caller> },
    /// Deletes jobs.
    DeleteJobs { jobs: Vec<String> },
}

/// Proposals by log index.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    by_index: BTreeMap<u64, Proposal>,
}

impl Proposals {
    pub(crate) fn insert(&mut self, index: u64, proposal: Proposal) {
        self.by_index.insert(index, proposal);
    }

    /// Removes and returns the proposals up to a committed index, in log order.
    pub(crate) fn take_committed(&mut self, index: u64) -> Vec<Proposal> {
        let uncommitted = self.by_index.split_off(&index.saturating_add(1));
        std::mem::replace(&mut self.by_index, uncommitted).into_values().collect()
    }

    /// Removes and returns all proposals, in log order.
    pub(crate) fn take_all(&mut self) -> Vec<Proposal> {
        std::mem::take(&mut self.by_index).into_values().collect()
    }

    /// Returns the callers that wait until a job is stored, if it is proposed.
    pub(crate) fn submit_callers(&mut self, id: &str) -> Option<&mut Vec<Caller>> {
        self.by_index.values_mut().find_map(|proposal| match proposal {
            Proposal::AddJob { job, callers, .. } if job == id => Some(callers),
            _ => None,
        })
    }

    /// Returns the callers that wait until a job has ended, if its end is proposed.
    pub(crate) fn end_callers(&mut self, id: &str) -> Option<&mut Vec<Caller>> {
        self.by_index.values_mut().find_map(|proposal| match proposal {
            Proposal::EndJob { job, callers } if job == id => Some(callers),
            _ => None,
        })
    }

    /// Returns whether uncommitted results are proposed.
    pub(crate) fn has_results(&self) -> bool {
        self.by_index.values().any(|proposal| matches!(proposal, Proposal::AppendResults { .. }))
    }

    /// Returns the estimated memory of the proposed jobs in bytes.
    pub(crate) fn estimated_bytes(&self) -> u64 {
        let bytes = |proposal: &Proposal| match proposal {
            Proposal::AddJob { estimated_bytes, .. } => *estimated_bytes,
            _ => 0,
        };
        self.by_index.values().map(bytes).sum()
    }
}
