//! Graceful shutdown: items in flight get a while to finish, the others are returned to their stores.

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

/// Percentage of the time to shut down in which items may finish.
const FINISH_PERCENT: u32 = 50;
/// How often the progress of the shutdown is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Shuts the execution down.
pub(crate) struct GracefulShutdown {
    pub(crate) flag: Rc<ShutdownFlag>,
    pub(crate) changes: Rc<ChangeSignal>,
    pub(crate) leases: Rc<RefCell<LeaseTable>>,
    pub(crate) outcomes: Rc<OutcomeReporter>,
    pub(crate) outbox: Rc<Outbox>,
    pub(crate) links: Rc<StoreLinks>,
}

impl GracefulShutdown {
    /// Takes no new work, waits for items to finish, returns the others and sends all outcomes. Returns when done,
    /// or after the limit.
    pub(crate) async fn run(&self, limit: Duration) {
        let started_at = Instant::now();
        self.flag.set();
        self.changes.notify();
        let finish_until = started_at + limit * FINISH_PERCENT / 100;
        while !self.leases.borrow().is_empty() && Instant::now() < finish_until {
            sleep(CHECK_INTERVAL).await;
        }
        let unfinished = self.leases.borrow_mut().release_all();
        log::info!("shutdown returns items count={}", unfinished.len());
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
