//! Schedules of the periodic work.

use pebblepost_messages::batch::LEASE_RENEWAL_INTERVAL_MS;
use std::time::Duration;

/// Interval at which leases are renewed.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(LEASE_RENEWAL_INTERVAL_MS);
/// Interval at which missing barriers are proposed and jobs past their retention are deleted.
const RETENTION_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The schedule of work that runs at most once per interval.
#[derive(Debug)]
pub(crate) struct PeriodicTask {
    period: Duration,
    last_run: Duration,
}

impl PeriodicTask {
    fn new(period: Duration) -> PeriodicTask {
        PeriodicTask { period, last_run: Duration::ZERO }
    }

    /// Returns whether the work is due, and starts the next interval if it is.
    pub(crate) fn start_if_due(&mut self, now: Duration) -> bool {
        let is_due = now.saturating_sub(self.last_run) >= self.period;
        if is_due {
            self.last_run = now;
        }
        is_due
    }
}

/// The schedules of a store's periodic work.
#[derive(Debug)]
pub(crate) struct Maintenance {
    pub(crate) lease_renewal: PeriodicTask,
    pub(crate) retention_check: PeriodicTask,
}

impl Default for Maintenance {
    fn default() -> Maintenance {
        Maintenance {
            lease_renewal: PeriodicTask::new(LEASE_RENEWAL_INTERVAL),
            retention_check: PeriodicTask::new(RETENTION_CHECK_INTERVAL),
        }
    }
}
