//! HTTP requests whose response waits for a commit, or for a commit and the subscribers' acknowledgements.

use super::events::RequestId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest wait of a graceful shutdown for the subscribers' acknowledgements.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for a commit.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Debug)]
enum Wait {
    /// For the commit of an entry.
    Commit { index: u64, deadline: Duration },
    /// For the commit of an entry, and until every subscriber acts by a flush of the feed or the deadline has passed.
    Shutdown { index: u64, flush: u64, acknowledge_deadline: Duration },
}

/// A request whose entry is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CommittedRequest {
    pub(super) id: RequestId,
    /// Index of its entry.
    pub(super) index: u64,
}

/// All requests that wait, in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    waits: BTreeMap<RequestId, Wait>,
}

impl PendingRequests {
    pub(super) fn await_commit(&mut self, now: Duration, id: RequestId, index: u64) {
        self.waits.insert(id, Wait::Commit { index, deadline: now + COMMIT_TIMEOUT });
    }

    pub(super) fn await_shutdown(&mut self, now: Duration, id: RequestId, index: u64, flush: u64) {
        let acknowledge_deadline = now + ACKNOWLEDGE_TIMEOUT;
        self.waits.insert(id, Wait::Shutdown { index, flush, acknowledge_deadline });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }

    /// Takes the requests that waited for the commit of entries up to `committed`.
    pub(super) fn take_committed(&mut self, committed: u64) -> Vec<CommittedRequest> {
        let is_done = |_: &RequestId, wait: &mut Wait| matches!(wait, Wait::Commit { index, .. } if *index <= committed);
        let done = self.waits.extract_if(.., is_done);
        let request = |(id, wait)| match wait {
            Wait::Commit { index, .. } | Wait::Shutdown { index, .. } => CommittedRequest { id, index },
        };
        done.map(request).collect()
    }

    /// Takes the graceful shutdowns that are committed, and acknowledged by all subscribers or long enough in waiting.
    pub(super) fn take_shutdowns(
        &mut self, now: Duration, committed: u64, is_acknowledged: impl Fn(u64) -> bool,
    ) -> Vec<RequestId> {
        self.take(|wait| match wait {
            Wait::Shutdown { index, flush, acknowledge_deadline } => {
                *index <= committed && (now >= *acknowledge_deadline || is_acknowledged(*flush))
            }
            Wait::Commit { .. } => false,
        })
    }

    /// Takes the requests that were not committed in time.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<RequestId> {
        self.take(|wait| match wait {
            Wait::Commit { deadline, .. } => now >= *deadline,
            Wait::Shutdown { acknowledge_deadline, .. } => now >= *acknowledge_deadline + COMMIT_TIMEOUT,
        })
    }

    /// Takes all requests.
    pub(super) fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waits).into_keys().collect()
    }

    fn take(&mut self, is_done: impl Fn(&Wait) -> bool) -> Vec<RequestId> {
        self.waits.extract_if(.., |_, wait| is_done(wait)).map(|(id, _)| id).collect()
    }
}
