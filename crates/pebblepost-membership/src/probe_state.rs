//! The probe in progress, the order of probes, and pings relayed for others.

use crate::member::Member;
use rand::{RngExt, rngs::SmallRng, seq::SliceRandom};
use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

/// Number of relayed pings that are kept at the same time.
const MAX_RELAYED_PINGS: usize = 64;

/// The probe of the current period.
pub(crate) struct Probe {
    pub(crate) member: Member,
    pub(crate) sequence: u64,
    /// When others are asked to ping it; `None` once they are, or once it has acknowledged.
    pub(crate) indirect_at: Option<Duration>,
    pub(crate) is_acknowledged: bool,
}

impl Probe {
    /// Whether others are to be asked now.
    pub(crate) fn is_indirect_due(&self, now: Duration) -> bool {
        self.indirect_at.is_some_and(|at| at <= now)
    }
}

/// A ping made for another member.
pub(crate) struct RelayedPing {
    sequence: u64,
    pub(crate) requester: SocketAddrV4,
    pub(crate) requester_sequence: u64,
}

/// Pings made for other members, the newest last.
#[derive(Default)]
pub(crate) struct RelayedPings(VecDeque<RelayedPing>);

impl RelayedPings {
    pub(crate) fn push(&mut self, sequence: u64, requester: SocketAddrV4, requester_sequence: u64) {
        if self.0.len() == MAX_RELAYED_PINGS {
            self.0.pop_front();
        }
        self.0.push_back(RelayedPing { sequence, requester, requester_sequence });
    }

    /// Takes the ping of this sequence number, if it is one of these.
    pub(crate) fn take(&mut self, sequence: u64) -> Option<RelayedPing> {
        let index = self.0.iter().position(|ping| ping.sequence == sequence)?;
        self.0.remove(index)
    }
}

/// Round-robin through all members, in an order drawn anew for each round.
#[derive(Default)]
pub(crate) struct ProbeOrder {
    names: Vec<String>,
}

impl ProbeOrder {
    /// The next name of the round.
    pub(crate) fn pop(&mut self) -> Option<String> {
        self.names.pop()
    }

    /// Starts a round.
    pub(crate) fn refill(&mut self, names: Vec<String>, random: &mut SmallRng) {
        self.names = names;
        self.names.shuffle(random);
    }

    /// Adds a new member at a random position of the round.
    pub(crate) fn insert(&mut self, name: String, random: &mut SmallRng) {
        let index = random.random_range(0..=self.names.len());
        self.names.insert(index, name);
    }
}
