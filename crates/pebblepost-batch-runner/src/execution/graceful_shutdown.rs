//! Graceful shutdown: items in flight get some time to finish, and the others are returned to their stores.

use crate::change_signal::ChangeSignal;
use crate::execution::outcomes::OutcomeReporter;
use crate::lease_table::LeaseTable;
use crate::shutdown::ShutdownFlag;
use crate::store::links::StoreLinks;
use crate::store::outbox::Outbox;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Part of the shutdown time in which items may finish, in percent.
const FINISH_PERCENT_OF_LIMIT: u32 = 50;
/// Interval at which the progress of the shutdown is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Shuts down the execution of items.
pub(crate) struct GracefulShutdown {
    pub(crate) flag: Rc<ShutdownFlag>,
    pub(crate) changes: Rc<ChangeSignal>,
    pub(crate) leases: Rc<RefCell<LeaseTable>>,
    pub(crate) outcomes: Rc<OutcomeReporter>,
    pub(crate) outbox: Rc<Outbox>,
    pub(crate) links: Rc<StoreLinks>,
}

impl GracefulShutdown {
    /// Stops taking work, waits for items to finish, returns the others to their stores and sends all outcomes.
    ///
    /// Returns when all outcomes are sent, or after `limit`.
    pub(crate) async fn run(&self, limit: Duration) {
        let started_at = Instant::now();
        self.flag.set();
        self.changes.notify();
        let finish_until = started_at + limit * FINISH_PERCENT_OF_LIMIT / 100;
        while !self.leases.borrow().is_empty() && Instant::now() < finish_until {
            sleep(CHECK_INTERVAL).await;
        }
        let unfinished = self.leases.borrow_mut().release_all();
        log::info!("shutdown: returning unfinished items to their stores count={}", unfinished.len());
        for released in unfinished {
            self.outcomes.return_released(released);
        }
        self.outbox.flush(&self.links);
        while !self.is_flushed() && started_at.elapsed() < limit {
            sleep(CHECK_INTERVAL).await;
            self.outbox.flush(&self.links);
        }
    }

    fn is_flushed(&self) -> bool {
        let queued_bytes: usize = self.links.all().iter().map(|link| link.queued_bytes()).sum();
        self.outbox.is_empty() && queued_bytes == 0
    }
}
