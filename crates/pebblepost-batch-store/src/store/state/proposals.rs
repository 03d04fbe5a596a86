//! Log entries that this machine proposed as primary and that are not committed, and who waits for them.

use super::outbox::LinkId;
use std::collections::BTreeMap;

/// A call that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    pub(crate) link: LinkId,
    pub(crate) call: u64,
}

/// A proposed change.
#[derive(Debug)]
pub(crate) enum Proposal {
    /// Stores a job of this estimated size.
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

    /// Removes the proposals that are committed up to an index, in their order.
    pub(crate) fn take_committed(&mut self, index: u64) -> Vec<Proposal> {
        let uncommitted = self.by_index.split_off(&index.saturating_add(1));
        std::mem::replace(&mut self.by_index, uncommitted).into_values().collect()
    }

    /// Removes all proposals, in their order.
    pub(crate) fn take_all(&mut self) -> Vec<Proposal> {
        std::mem::take(&mut self.by_index).into_values().collect()
    }

    /// Callers that wait until a job is stored, if it is proposed.
    pub(crate) fn submit_callers(&mut self, id: &str) -> Option<&mut Vec<Caller>> {
        self.by_index.values_mut().find_map(|proposal| match proposal {
            Proposal::AddJob { job, callers, .. } if job == id => Some(callers),
            _ => None,
        })
    }

    /// Callers that wait until a job has ended, if its end is proposed.
    pub(crate) fn end_callers(&mut self, id: &str) -> Option<&mut Vec<Caller>> {
        self.by_index.values_mut().find_map(|proposal| match proposal {
            Proposal::EndJob { job, callers } if job == id => Some(callers),
            _ => None,
        })
    }

    /// Whether results are proposed.
    pub(crate) fn has_results(&self) -> bool {
        self.by_index.values().any(|proposal| matches!(proposal, Proposal::AppendResults { .. }))
    }

    /// Estimated memory of the proposed jobs in bytes.
    pub(crate) fn estimated_bytes(&self) -> u64 {
        let bytes = |proposal: &Proposal| match proposal {
            Proposal::AddJob { estimated_bytes, .. } => *estimated_bytes,
            _ => 0,
        };
        self.by_index.values().map(bytes).sum()
    }
}
