//! HTTP requests whose response waits for a commit, or for a commit and the acknowledgements of all feed subscribers.

use super::events::RequestId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which the response to a graceful shutdown no longer waits for acknowledgements of subscribers.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a request is answered although its entry is not committed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Debug)]
enum Wait {
    /// Waits for the commit of an entry.
    Commit { index: u64, deadline: Duration },
    /// Waits for the commit of an entry, and until every subscriber has acknowledged a flush of the feed or the
    /// deadline has passed.
    Shutdown { index: u64, flush: u64, acknowledge_deadline: Duration },
}

/// A request whose entry is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CommittedRequest {
    pub(super) id: RequestId,
    /// Index of the entry that the request proposed.
    pub(super) index: u64,
}

/// All waiting requests, in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    waits: BTreeMap<RequestId, Wait>,
}

impl PendingRequests {
    pub(super) fn await_commit(&mut self, now: Duration, id: RequestId, index: u64) {
        self.waits.insert(id, Wait::Commit { index, deadline: now + COMMIT_TIMEOUT });
    }

    pub(super) fn await_shutdown(&mut self, now: Duration, id: RequestId, index: u64, flush: u64) {
        let acknowledge_deadline = now + ACKNOWLEDGEMENT_TIMEOUT;
        self.waits.insert(id, Wait::Shutdown { index, flush, acknowledge_deadline });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }

    /// Removes and returns the requests that waited for the commit of an entry up to index `committed`.
    pub(super) fn take_committed(&mut self, committed: u64) -> Vec<CommittedRequest> {
        let is_done = |_: &RequestId, wait: &mut Wait| matches!(wait, Wait::Commit { index, .. } if *index <= committed);
        let done = self.waits.extract_if(.., is_done);
        let request = |(id, wait)| match wait {
            Wait::Commit { index, .. } | Wait::Shutdown { index, .. } => CommittedRequest { id, index },
        };
        done.map(request).collect()
    }

    /// Removes and returns the graceful shutdowns that are committed and are acknowledged by all subscribers or have
    /// reached their acknowledgement deadline.
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

    /// Removes and returns the requests that were not committed in time.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<RequestId> {
        self.take(|wait| match wait {
            Wait::Commit { deadline, .. } => now >= *deadline,
            Wait::Shutdown { acknowledge_deadline, .. } => now >= *acknowledge_deadline + COMMIT_TIMEOUT,
        })
    }

    /// Removes and returns all requests.
    pub(super) fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waits).into_keys().collect()
    }

    fn take(&mut self, is_done: impl Fn(&Wait) -> bool) -> Vec<RequestId> {
        self.waits.extract_if(.., |_, wait| is_done(wait)).map(|(id, _)| id).collect()
    }
}
