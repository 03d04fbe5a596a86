//! Acknowledgements: which batches of the control plane the proxy has in force.
//!
//! State only; the agent sends what this module says.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Without a proxy, batches are acknowledged after this time, so that nobody waits for a proxy that
/// is down.
const ACKNOWLEDGE_DELAY_WITHOUT_PROXY: Duration = Duration::from_millis(100);

/// A batch to the proxy that was not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct ForwardedBatch {
    /// Its number on the link to the proxy.
    proxy_sequence: u64,
    /// Newest batch of the control plane that it covers.
    control_sequence: u64,
}

/// Batches received over the present link to the control primary, and how far they are
/// acknowledged.
#[derive(Debug, Default)]
pub(crate) struct Acknowledgements {
    newest_received: u64,
    newest_acknowledged: u64,
    /// Oldest first.
    in_flight: VecDeque<ForwardedBatch>,
    due_without_proxy: Option<Instant>,
}

impl Acknowledgements {
    /// Notes a batch of the control primary.
    pub(crate) fn record_received(&mut self, control_sequence: u64) {
        self.newest_received = control_sequence;
    }

    /// Notes that all that was received is in this batch to the proxy.
    pub(crate) fn record_forwarded(&mut self, proxy_sequence: u64) {
        self.in_flight.push_back(ForwardedBatch { proxy_sequence, control_sequence: self.newest_received });
        self.due_without_proxy = None;
    }

    /// Notes that there is no proxy to acknowledge what was received.
    pub(crate) fn record_no_proxy(&mut self, now: Instant) {
        self.in_flight.clear();
        if self.newest_received > self.newest_acknowledged && self.due_without_proxy.is_none() {
            self.due_without_proxy = Some(now + ACKNOWLEDGE_DELAY_WITHOUT_PROXY);
        }
    }

    /// Notes an acknowledgement of the proxy; returns the control sequence to acknowledge, if that
    /// is new.
    pub(crate) fn record_proxy_acknowledgement(&mut self, proxy_sequence: u64) -> Option<u64> {
        let mut newest = 0;
        while let Some(batch) = self.in_flight.front().filter(|batch| batch.proxy_sequence <= proxy_sequence)
        {
            newest = batch.control_sequence;
            self.in_flight.pop_front();
        }
        self.acknowledge(newest)
    }

    /// When an acknowledgement without a proxy is due.
    pub(crate) fn due_without_proxy(&self) -> Option<Instant> {
        self.due_without_proxy
    }

    /// The control sequence to acknowledge without a proxy, if that is due.
    pub(crate) fn take_due_without_proxy(&mut self, now: Instant) -> Option<u64> {
        if self.due_without_proxy.is_none_or(|due| now < due) {
            return None;
        }
        self.due_without_proxy = None;
        self.acknowledge(self.newest_received)
    }

    fn acknowledge(&mut self, control_sequence: u64) -> Option<u64> {
        if control_sequence <= self.newest_acknowledged {
            return None;
        }
        self.newest_acknowledged = control_sequence;
        Some(control_sequence)
    }
}
