//! Discovery: when a node that must poll for the membership does so.
//!
//! Owns the state of the subscription. The membership itself is in the worker table.

use crate::api::{Discovery, ListKind, Settings, Time};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Fraction of the stated interval within which a poll falls, so that it is in time with its own delay.
const INTERVAL_FRACTION: f64 = 0.75;
/// All nodes may have to poll at once: the window is full for so many nodes.
const NODES_FOR_FULL_WINDOW: f64 = 40.0;
const MIN_NODES: u32 = 3;
/// The window doubles with each failed poll, up to this often.
const MAX_DOUBLINGS: u32 = 3;

/// A node's subscription to the membership.
#[derive(Clone, Debug, Default)]
pub(crate) struct Subscription {
    active: bool,
    failed_polls: u32,
}

impl Subscription {
    /// Takes in what discovery sent.
    pub(crate) fn record(&mut self, settings: &Settings, kind: ListKind) {
        match kind {
            ListKind::Failed => (self.active, self.failed_polls) = (false, self.failed_polls + 1),
            ListKind::Cached => {}
            ListKind::Delta | ListKind::Full => {
                (self.active, self.failed_polls) = (settings.discovery == Discovery::Poll, 0);
            }
        }
    }

    /// Whether the node must poll to learn of changes.
    pub(crate) fn must_poll(&self, settings: &Settings) -> bool {
        settings.discovery == Discovery::Poll && !self.active
    }

    /// When to poll: at random, spread by the number of nodes and backed off, within the stated interval.
    pub(crate) fn next_poll(&self, settings: &Settings, now: Time, random: &mut Pcg64Mcg) -> Time {
        let within = settings.max_discovery_interval.mul_f64(INTERVAL_FRACTION);
        let backoff = f64::from(1 << self.failed_polls.min(MAX_DOUBLINGS));
        let window = f64::from(settings.nodes.max(MIN_NODES)) * backoff / NODES_FOR_FULL_WINDOW;
        now + within.mul_f64(window.min(1.0) * random.random_range(0.1..1.0))
    }
}
