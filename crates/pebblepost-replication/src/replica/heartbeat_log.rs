//! The heartbeats of a primary: when the next one is due, and when the recent ones were sent.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of heartbeats whose send time is kept.
const MAX_RECORDED_HEARTBEATS: usize = 64;

#[derive(Debug)]
struct SentHeartbeat {
    number: u64,
    sent_at: Duration,
}

/// Heartbeats of one term, numbered from 1.
#[derive(Debug)]
pub(super) struct HeartbeatLog {
    due_at: Duration,
    newest_number: u64,
    sent: VecDeque<SentHeartbeat>,
}

impl HeartbeatLog {
    /// Creates an empty log; the first heartbeat is due at once.
    pub(super) fn new(now: Duration) -> Self {
        Self { due_at: now, newest_number: 0, sent: VecDeque::new() }
    }

    /// Returns the number of the newest heartbeat; 0 before the first one.
    pub(super) fn newest_number(&self) -> u64 {
        self.newest_number
    }

    /// Makes the next heartbeat due now.
    pub(super) fn set_due(&mut self, now: Duration) {
        self.due_at = now;
    }

    /// Starts the next heartbeat if it is due. Returns whether it was.
    pub(super) fn start_if_due(&mut self, now: Duration, interval: Duration) -> bool {
        if now < self.due_at {
            return false;
        }
        self.due_at = now + interval;
        self.newest_number += 1;
        self.sent.push_back(SentHeartbeat { number: self.newest_number, sent_at: now });
        if self.sent.len() > MAX_RECORDED_HEARTBEATS {
            self.sent.pop_front();
        }
        true
    }

    /// Returns the time at which a heartbeat was sent, if it is one of the recent ones.
    pub(super) fn sent_at(&self, number: u64) -> Option<Duration> {
        self.sent.iter().find(|heartbeat| heartbeat.number == number).map(|heartbeat| heartbeat.sent_at)
    }
}
