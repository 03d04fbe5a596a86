//! Tracks which batches of the control primary the proxy has in force, and decides which to
//! acknowledge.
//!
//! This module holds state only; the agent sends the acknowledgements.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Delay after which batches are acknowledged while no proxy is connected, so that the control plane
/// does not wait for a proxy that is down.
const ACKNOWLEDGE_DELAY_WITHOUT_PROXY: Duration = Duration::from_millis(100);

/// A batch that was sent to the proxy and not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct ForwardedBatch {
    /// Sequence of the batch on the link to the proxy.
    proxy_sequence: u64,
    /// Sequence of the newest batch of the control primary that it includes.
    control_sequence: u64,
}

/// Acknowledgement state of the batches received over one link to the control primary. A new link starts
/// with a new state, because batch sequences restart.
#[derive(Debug, Default)]
pub(crate) struct Acknowledgements {
    /// Sequence of the newest batch received from the control primary.
    newest_received: u64,
    /// Sequence of the newest batch acknowledged to the control primary.
    newest_acknowledged: u64,
    /// Batches in flight to the proxy, oldest first.
    in_flight: VecDeque<ForwardedBatch>,
    /// When all received batches are acknowledged although no proxy is connected.
    due_without_proxy: Option<Instant>,
}

impl Acknowledgements {
    /// Records a batch received from the control primary.
    pub(crate) fn record_received(&mut self, control_sequence: u64) {
        self.newest_received = control_sequence;
    }

    /// Records that a batch to the proxy includes everything received so far.
    pub(crate) fn record_forwarded(&mut self, proxy_sequence: u64) {
        self.in_flight.push_back(ForwardedBatch { proxy_sequence, control_sequence: self.newest_received });
        self.due_without_proxy = None;
    }

    /// Records that no proxy can acknowledge the received batches. They become due after a delay.
    pub(crate) fn record_no_proxy(&mut self, now: Instant) {
        self.in_flight.clear();
        if self.newest_received > self.newest_acknowledged && self.due_without_proxy.is_none() {
            self.due_without_proxy = Some(now + ACKNOWLEDGE_DELAY_WITHOUT_PROXY);
        }
    }

    /// Records an acknowledgement of the proxy. Returns the control sequence to acknowledge if it advances.
    pub(crate) fn record_proxy_acknowledgement(&mut self, proxy_sequence: u64) -> Option<u64> {
        let mut newest = 0;
        while let Some(batch) = self.in_flight.front().filter(|batch| batch.proxy_sequence <= proxy_sequence)
        {
            newest = batch.control_sequence;
            self.in_flight.pop_front();
        }
        self.acknowledge(newest)
    }

    /// Returns when an acknowledgement without a proxy is due.
    pub(crate) fn due_without_proxy(&self) -> Option<Instant> {
        self.due_without_proxy
    }

    /// Returns the control sequence to acknowledge without a proxy if it is due at `now` and advances.
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
