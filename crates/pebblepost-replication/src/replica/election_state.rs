//! When a replica may stand for election, and when it may act as primary.

use pebblepost_messages::DiskId;
use std::collections::BTreeSet;
use std::time::Duration;

/// When this replica may stand for election, and when it may act as primary.
#[derive(Debug)]
pub(super) struct ElectionState {
    /// It does not stand before: the primary it heard from may act until then.
    pub(super) stand_not_before: Duration,
    /// It does not act as primary before: the one whose heartbeat it acknowledged, maybe in a former
    /// incarnation, may act until then.
    pub(super) act_not_before: Duration,
    /// The primary of this epoch stopped for good.
    pub(super) stepped_down_epoch: Option<u64>,
    /// A primary was heard from since the start of the process.
    pub(super) had_primary_contact: bool,
    /// The epoch in which this replica was the acting primary before its process was restarted.
    pub(super) resumed_epoch: Option<u64>,
    /// The replicas that the caller has heard from lately, if it says so.
    pub(super) reachable: Option<BTreeSet<DiskId>>,
}

impl ElectionState {
    /// After a start: a former incarnation may have acknowledged a heartbeat just before.
    pub(super) fn new(recovered_epoch: u64, now: Duration, election_timeout: Duration) -> Self {
        let act_not_before = if recovered_epoch > 0 { now + election_timeout } else { Duration::ZERO };
        Self {
            stand_not_before: now + election_timeout,
            act_not_before,
            stepped_down_epoch: None,
            had_primary_contact: false,
            resumed_epoch: None,
            reachable: None,
        }
    }

    /// A heartbeat is acknowledged: its primary may act until then.
    pub(super) fn on_lease_granted(&mut self, not_before: Duration) {
        self.stand_not_before = self.stand_not_before.max(not_before);
        self.act_not_before = not_before;
    }

    /// Whether no primary before the one of `epoch` can still act.
    pub(super) fn may_act(&self, now: Duration, epoch: u64) -> bool {
        let has_stepped_down = self.stepped_down_epoch.is_some_and(|stepped_down| stepped_down + 1 == epoch);
        has_stepped_down || now >= self.act_not_before
    }

    pub(super) fn is_reachable(&self, disk: DiskId) -> bool {
        self.reachable.as_ref().is_none_or(|reachable| reachable.contains(&disk))
    }
}
