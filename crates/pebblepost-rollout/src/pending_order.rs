//! A load order that was sent to a transcriber and whose outcome is not settled.
//!
//! The outcome is determined by polling reports. An order without a definite answer is never sent again before a
//! report settles it, because the transcriber may have accepted it.

use crate::message::LoadOrder;
use std::time::Duration;

/// Time without a response after which a transcriber no longer occupies one of the slots for concurrent loads.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between the acceptance of an order and the first poll.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(350);
/// Time between polls of a responsive transcriber.
const POLL_PERIOD: Duration = Duration::from_millis(150);
/// Time between polls of an unresponsive transcriber.
const UNRESPONSIVE_POLL_PERIOD: Duration = Duration::from_secs(1);
/// Time after an order was sent within which a requested report may still show the state before the order.
const MAX_REPORT_LAG: Duration = Duration::from_millis(700);
/// Time after which an accepted order that no report shows is considered lost.
const LOST_ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// What is known about the outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The order was sent and no answer has arrived.
    Sent,
    /// The transcriber has accepted the order.
    Accepted,
    /// No answer arrived in time: the transcriber may have accepted the order.
    Uncertain,
    /// The order was not accepted because another load is in progress.
    Conflicting,
    /// The order was not accepted because the transcriber has seen a higher fencing token.
    Fenced,
}

/// An order and what is known about its outcome.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) model: String,
    /// The version to load.
    pub(crate) generation: u64,
    stage: Stage,
    sent_at: Duration,
    /// Time of the last response of the transcriber, initially the time at which the order was sent.
    last_response: Duration,
    next_poll: Duration,
    /// Time at which the report in flight was requested.
    polled_at: Option<Duration>,
    /// Time at which the last report was requested, whether or not it has arrived.
    last_poll: Option<Duration>,
}

impl PendingOrder {
    /// Creates the state of an order that is sent at `now`.
    pub(crate) fn new(now: Duration, model: &str, generation: u64) -> PendingOrder {
        PendingOrder {
            model: model.to_owned(),
            generation,
            stage: Stage::Sent,
            sent_at: now,
            last_response: now,
            next_poll: now + RESPONSE_TIMEOUT,
            polled_at: None,
            last_poll: None,
        }
    }

    /// Returns whether this is the state of the given order.
    pub(crate) fn matches(&self, order: &LoadOrder) -> bool {
        self.model == order.model && self.generation == order.generation
    }

    /// Returns whether the transcriber occupies one of the slots for concurrent loads of its service.
    pub(crate) fn occupies_slot(&self, now: Duration) -> bool {
        self.stage != Stage::Fenced && !self.is_unresponsive(now)
    }

    /// Returns the time of the next poll or, if that is earlier, the time at which the slot is freed.
    pub(crate) fn next_wake(&self, now: Duration) -> Duration {
        let poll = match self.polled_at {
            Some(polled_at) => polled_at + RESPONSE_TIMEOUT,
            None => self.next_poll,
        };
        if self.is_unresponsive(now) { poll } else { poll.min(self.last_response + RESPONSE_TIMEOUT) }
    }

    /// Records that the call failed without an answer. Has no effect if the order was answered before.
    pub(crate) fn on_no_answer(&mut self, now: Duration) {
        if self.stage == Stage::Sent {
            self.stage = Stage::Uncertain;
            self.next_poll = now + POLL_PERIOD;
        }
    }

    pub(crate) fn on_accepted(&mut self, now: Duration) {
        self.last_response = now;
        self.stage = Stage::Accepted;
        self.next_poll = now + FIRST_POLL_DELAY;
    }

    /// Records that the order was rejected because another load is in progress.
    pub(crate) fn on_conflict(&mut self, now: Duration) {
        self.last_response = now;
        self.stage = Stage::Conflicting;
        self.next_poll = now + POLL_PERIOD;
    }

    /// Records that the transcriber has seen a higher fencing token. It is polled after `delay`.
    pub(crate) fn on_fenced(&mut self, now: Duration, delay: Duration) {
        self.last_response = now;
        self.stage = Stage::Fenced;
        self.next_poll = now + delay;
    }

    /// Ends the poll in flight and returns the time at which it was requested.
    ///
    /// Without a poll in flight, returns the time at which the order was sent.
    pub(crate) fn end_poll(&mut self) -> Duration {
        self.polled_at.take().unwrap_or(self.sent_at)
    }

    pub(crate) fn on_poll_failed(&mut self, now: Duration) {
        self.next_poll = now + self.poll_period(now);
    }

    pub(crate) fn on_report(&mut self, now: Duration) {
        self.last_response = now;
        self.next_poll = now + POLL_PERIOD;
    }

    /// Starts a poll if one is due, but no sooner than `min_period` after the previous one.
    ///
    /// Returns whether it started one. No poll is started before the order is answered or has timed out.
    pub(crate) fn start_poll(&mut self, now: Duration, min_period: Duration) -> bool {
        if self.stage == Stage::Sent && self.is_unresponsive(now) {
            self.stage = Stage::Uncertain;
        }
        let is_in_flight = self.polled_at.is_some_and(|polled_at| now < polled_at + RESPONSE_TIMEOUT);
        let is_early = self.last_poll.is_some_and(|last_poll| now < last_poll + min_period);
        if self.stage == Stage::Sent || is_in_flight || is_early || now < self.next_poll {
            return false;
        }
        self.polled_at = Some(now);
        self.last_poll = Some(now);
        self.next_poll = now + self.poll_period(now);
        true
    }

    /// Returns whether a report that was requested at `polled_at` and shows no load in progress resolves the order.
    ///
    /// It does if the version is loaded, or if it is certain that the order was not accepted or was lost.
    pub(crate) fn is_resolved(&self, loaded: u64, polled_at: Duration) -> bool {
        match self.stage {
            Stage::Sent => false,
            _ if loaded >= self.generation => true,
            Stage::Accepted => polled_at >= self.sent_at + LOST_ORDER_TIMEOUT,
            Stage::Uncertain | Stage::Conflicting => polled_at >= self.sent_at + MAX_REPORT_LAG,
            Stage::Fenced => true,
        }
    }

    fn is_unresponsive(&self, now: Duration) -> bool {
        now >= self.last_response + RESPONSE_TIMEOUT
    }

    fn poll_period(&self, now: Duration) -> Duration {
        if self.is_unresponsive(now) { UNRESPONSIVE_POLL_PERIOD } else { POLL_PERIOD }
    }
}
