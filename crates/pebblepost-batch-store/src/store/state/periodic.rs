//! When periodic work was done last, and whether it is due.

use pebblepost_messages::batch::RENEW_MS;
use std::time::Duration;

/// How often leases are renewed.
const RENEWAL_PERIOD: Duration = Duration::from_millis(RENEW_MS);
/// How often jobs past their retention are looked for.
const RETENTION_PERIOD: Duration = Duration::from_secs(5);

/// Work that is done at most once in a period.
#[derive(Debug)]
pub(crate) struct PeriodicTask {
    period: Duration,
    last_run: Duration,
}

impl PeriodicTask {
    fn new(period: Duration) -> PeriodicTask {
        PeriodicTask { period, last_run: Duration::ZERO }
    }

    /// Whether the work is due; the next period starts now if it is.
    pub(crate) fn start_if_due(&mut self, now: Duration) -> bool {
        let is_due = now.saturating_sub(self.last_run) >= self.period;
        if is_due {
            self.last_run = now;
        }
        is_due
    }
}

/// The periodic work of a store.
#[derive(Debug)]
pub(crate) struct Maintenance {
    pub(crate) renewal: PeriodicTask,
    pub(crate) retention: PeriodicTask,
}

impl Default for Maintenance {
    fn default() -> Maintenance {
        Maintenance {
            renewal: PeriodicTask::new(RENEWAL_PERIOD),
            retention: PeriodicTask::new(RETENTION_PERIOD),
        }
    }
}
