//! Which batches of the control plane the proxy has in force.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Without a proxy, batches are acknowledged after this time, so that nobody waits for a proxy that is down.
const WITHOUT_PROXY: Duration = Duration::from_millis(100);

/// Batches received on the present link to the control primary, and how far they are confirmed.
#[derive(Debug, Default)]
pub(crate) struct Acknowledgements {
    received: u64,
    acknowledged: u64,
    /// Numbers on the proxy's link, each with the number on the control link that it covers.
    passed_on: VecDeque<(u64, u64)>,
    due: Option<Instant>,
}

impl Acknowledgements {
    /// A batch came from the control primary.
    pub(crate) fn received(&mut self, control_sequence: u64) {
        self.received = control_sequence;
    }

    /// All that was received is in a batch to the proxy.
    pub(crate) fn passed_on(&mut self, proxy_sequence: u64) {
        self.passed_on.push_back((proxy_sequence, self.received));
        self.due = None;
    }

    /// There is no proxy that could confirm.
    pub(crate) fn without_proxy(&mut self, now: Instant) {
        self.passed_on.clear();
        if self.received > self.acknowledged && self.due.is_none() {
            self.due = Some(now + WITHOUT_PROXY);
        }
    }

    /// The proxy confirmed; the number to acknowledge, if it is new.
    pub(crate) fn confirmed(&mut self, proxy_sequence: u64) -> Option<u64> {
        let mut newest = 0;
        while let Some((passed_on, control_sequence)) = self.passed_on.front() {
            if *passed_on > proxy_sequence {
                break;
            }
            newest = *control_sequence;
            self.passed_on.pop_front();
        }
        self.acknowledge(newest)
    }

    /// When something is to be acknowledged without a proxy.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.due
    }

    /// The number to acknowledge without a proxy, if its time has come.
    pub(crate) fn take_due(&mut self, now: Instant) -> Option<u64> {
        if self.due.is_none_or(|due| now < due) {
            return None;
        }
        self.due = None;
        self.acknowledge(self.received)
    }

    fn acknowledge(&mut self, control_sequence: u64) -> Option<u64> {
        if control_sequence <= self.acknowledged {
            return None;
        }
        self.acknowledged = control_sequence;
        Some(control_sequence)
    }
}
