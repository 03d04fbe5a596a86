//! The wait for lease reports after a change of primary.
//!
//! Proxies report the leases that they hold to a new primary. Until the wait is over, the new primary
//! leases no item that an earlier primary may have leased.

use super::lease_table::ProxyId;
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum wait of a new primary before it leases items of jobs that it took over.
const MAX_TAKEOVER_WAIT: Duration = Duration::from_millis(400);

/// Period at the start of the wait in which reports are not counted. They may come from proxies that do
/// not know the new primary yet and list only leases of other store groups.
const EARLY_REPORT_PERIOD: Duration = Duration::from_millis(250);

/// The wait of one store group.
#[derive(Debug)]
pub(super) struct Takeover {
    started_at: Duration,
    ends_at: Duration,
    /// Proxies that were connected at the start and whose report is outstanding.
    unreported: BTreeSet<ProxyId>,
    has_any_report: bool,
}

impl Takeover {
    /// Starts a wait at `now`. It ends immediately if there are no open jobs to take over.
    pub(super) fn new(now: Duration, has_open_jobs: bool, connected: BTreeSet<ProxyId>) -> Takeover {
        let ends_at = if has_open_jobs { now + MAX_TAKEOVER_WAIT } else { now };
        Takeover { started_at: now, ends_at, unreported: connected, has_any_report: false }
    }

    /// Records that a proxy has reported all leases that it holds.
    ///
    /// The report is ignored within [`EARLY_REPORT_PERIOD`] of the start.
    pub(super) fn record_report(&mut self, now: Duration, proxy: ProxyId) {
        if now < self.started_at + EARLY_REPORT_PERIOD {
            return;
        }
        self.has_any_report = true;
        self.unreported.remove(&proxy);
    }

    /// Stops waiting for the report of a proxy that has disconnected.
    pub(super) fn remove_proxy(&mut self, proxy: ProxyId) {
        self.unreported.remove(&proxy);
    }

    /// Returns whether items of jobs that were taken over must not be leased yet.
    pub(super) fn is_waiting(&self, now: Duration) -> bool {
        let is_fully_reported = self.has_any_report && self.unreported.is_empty();
        now < self.ends_at && !is_fully_reported
    }
}
