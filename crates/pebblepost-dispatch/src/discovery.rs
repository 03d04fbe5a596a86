//! Discovery: when a dispatcher that must poll for the membership does so.
//!
//! Owns the state of the subscription. The membership itself is in the worker table.

use crate::api::{Discovery, ListKind, Settings, Time};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Fraction of the configured interval within which a poll is scheduled. The rest covers the delay of the
/// poll itself.
const POLL_INTERVAL_FRACTION: f64 = 0.75;
/// Number of dispatchers at which the poll window is as long as the interval. All of them may have to poll at
/// once.
const NODES_FOR_FULL_WINDOW: f64 = 40.0;
const MIN_NODES_FOR_WINDOW: u32 = 3;
/// The window doubles with each failed poll, at most this many times.
const MAX_WINDOW_DOUBLINGS: u32 = 3;

/// Subscription of a dispatcher to the membership.
#[derive(Clone, Debug, Default)]
pub(crate) struct Subscription {
    active: bool,
    failed_polls: u32,
}

impl Subscription {
    /// Records an update from discovery.
    pub(crate) fn record(&mut self, settings: &Settings, kind: ListKind) {
        match kind {
            ListKind::Failed => (self.active, self.failed_polls) = (false, self.failed_polls + 1),
            ListKind::Cached => {}
            ListKind::Delta | ListKind::Full => {
                (self.active, self.failed_polls) = (settings.discovery == Discovery::Poll, 0);
            }
        }
    }

    /// Returns whether the dispatcher must poll to learn of changes.
    pub(crate) fn must_poll(&self, settings: &Settings) -> bool {
        settings.discovery == Discovery::Poll && !self.active
    }

    /// Returns the time of the next poll: random within a window that grows with the number of dispatchers
    /// and with failed polls, up to the configured interval.
    pub(crate) fn next_poll(&self, settings: &Settings, now: Time, random: &mut Pcg64Mcg) -> Time {
        let interval = settings.max_discovery_interval.mul_f64(POLL_INTERVAL_FRACTION);
        let backoff = f64::from(1 << self.failed_polls.min(MAX_WINDOW_DOUBLINGS));
        let window = f64::from(settings.nodes.max(MIN_NODES_FOR_WINDOW)) * backoff / NODES_FOR_FULL_WINDOW;
        now + interval.mul_f64(window.min(1.0) * random.random_range(0.1..1.0))
    }
}
