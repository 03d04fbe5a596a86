//! The wait after a change of primary in which proxies report the leases that they hold.
//!
//! Until it is over, the new primary leases no item that an earlier primary may have leased.

use super::lease_table::ProxyId;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a new primary waits at most before it leases items of jobs that it took over.
const TAKEOVER_WAIT: Duration = Duration::from_millis(400);

/// Time after the start of the wait from which on reports count. Earlier ones may come from proxies
/// that do not know the new primary yet, and list the leases of other groups only.
const REPORTS_COUNT_AFTER: Duration = Duration::from_millis(250);

/// The wait of one group.
#[derive(Debug)]
pub(super) struct Takeover {
    started_at: Duration,
    ends_at: Duration,
    /// Proxies whose report is outstanding.
    unreported: BTreeSet<ProxyId>,
    has_any_report: bool,
}

impl Takeover {
    /// A wait that starts now; it is over at once if there are no open jobs to take over.
    pub(super) fn new(now: Duration, has_open_jobs: bool, connected: BTreeSet<ProxyId>) -> Takeover {
        let ends_at = if has_open_jobs { now + TAKEOVER_WAIT } else { now };
        Takeover { started_at: now, ends_at, unreported: connected, has_any_report: false }
    }

    /// A proxy has reported all leases that it holds.
    pub(super) fn report_received(&mut self, now: Duration, proxy: ProxyId) {
        if now < self.started_at + REPORTS_COUNT_AFTER {
            return;
        }
        self.has_any_report = true;
        self.unreported.remove(&proxy);
    }

    /// A proxy has disconnected: its report is not waited for.
    pub(super) fn remove_proxy(&mut self, proxy: ProxyId) {
        self.unreported.remove(&proxy);
    }

    /// Whether items of jobs that were taken over must not be leased yet.
    pub(super) fn is_waiting(&self, now: Duration) -> bool {
        let is_fully_reported = self.has_any_report && self.unreported.is_empty();
        now < self.ends_at && !is_fully_reported
    }
}
