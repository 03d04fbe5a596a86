//! Times before which a replica must not campaign, and must not act as primary.

use pebblepost_messages::DiskId;
use std::collections::BTreeSet;
use std::time::Duration;

/// State that decides when this replica may campaign, and when it may act as primary.
#[derive(Debug)]
pub(super) struct ElectionState {
    /// The replica does not campaign before this time, because the primary whose message it received may
    /// act until then.
    pub(super) campaign_not_before: Duration,
    /// The replica does not act as primary before this time, because the primary whose heartbeat it
    /// acknowledged, maybe in a former incarnation, may act until then.
    pub(super) act_not_before: Duration,
    /// Epoch whose primary has reported that it stepped down.
    pub(super) stepped_down_epoch: Option<u64>,
    /// Whether a message of a primary has arrived since this process started.
    pub(super) had_primary_contact: bool,
    /// The epoch in which this replica was primary before its process was restarted, if it may resume
    /// without waiting for the election timeout.
    pub(super) resumed_epoch: Option<u64>,
    /// The replicas from which the caller has recently received messages; `None` if it never reported
    /// them.
    pub(super) reachable: Option<BTreeSet<DiskId>>,
}

impl ElectionState {
    /// Creates the state at the start of a process. A former incarnation may have acknowledged a
    /// heartbeat just before, so the replica waits for the election timeout.
    pub(super) fn new(recovered_epoch: u64, now: Duration, election_timeout: Duration) -> Self {
        let act_not_before = if recovered_epoch > 0 { now + election_timeout } else { Duration::ZERO };
        Self {
            campaign_not_before: now + election_timeout,
            act_not_before,
            stepped_down_epoch: None,
            had_primary_contact: false,
            resumed_epoch: None,
            reachable: None,
        }
    }

    /// Records the acknowledgement of a heartbeat, whose primary may act until `not_before`.
    pub(super) fn on_lease_granted(&mut self, not_before: Duration) {
        self.campaign_not_before = self.campaign_not_before.max(not_before);
        self.act_not_before = not_before;
    }

    /// Returns whether no primary of an epoch before `epoch` can still act.
    pub(super) fn may_act(&self, now: Duration, epoch: u64) -> bool {
        let has_stepped_down = self.stepped_down_epoch.is_some_and(|stepped_down| stepped_down + 1 == epoch);
        has_stepped_down || now >= self.act_not_before
    }

    pub(super) fn is_reachable(&self, disk: DiskId) -> bool {
        self.reachable.as_ref().is_none_or(|reachable| reachable.contains(&disk))
    }
}
