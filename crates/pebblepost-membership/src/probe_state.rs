//! The probe in progress, the order in which members are probed, and the pings relayed for other members.

use crate::member::Member;
use rand::{RngExt, rngs::SmallRng, seq::SliceRandom};
use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

/// Upper bound on the relayed pings that wait for an acknowledgement. The oldest one is dropped beyond it.
const MAX_RELAYED_PINGS: usize = 64;

/// The probe of the current protocol period.
pub(crate) struct Probe {
    pub(crate) member: Member,
    pub(crate) sequence: u64,
    /// Time at which other members are asked to ping the member. `None` once they were asked, or once the member has
    /// acknowledged.
    pub(crate) indirect_at: Option<Duration>,
    pub(crate) is_acknowledged: bool,
}

impl Probe {
    /// Whether other members are to be asked for an indirect probe now.
    pub(crate) fn is_indirect_due(&self, now: Duration) -> bool {
        self.indirect_at.is_some_and(|at| at <= now)
    }
}

/// A ping that was sent on behalf of another member.
pub(crate) struct RelayedPing {
    sequence: u64,
    pub(crate) requester: SocketAddrV4,
    pub(crate) requester_sequence: u64,
}

/// Pings that were sent on behalf of other members, the newest last.
#[derive(Default)]
pub(crate) struct RelayedPings(VecDeque<RelayedPing>);

impl RelayedPings {
    pub(crate) fn push(&mut self, sequence: u64, requester: SocketAddrV4, requester_sequence: u64) {
        if self.0.len() == MAX_RELAYED_PINGS {
            self.0.pop_front();
        }
        self.0.push_back(RelayedPing { sequence, requester, requester_sequence });
    }

    /// Removes and returns the relayed ping with this sequence number.
    pub(crate) fn take(&mut self, sequence: u64) -> Option<RelayedPing> {
        let index = self.0.iter().position(|ping| ping.sequence == sequence)?;
        self.0.remove(index)
    }
}

/// Round-robin order of the members to probe. It is shuffled for each round.
#[derive(Default)]
pub(crate) struct ProbeOrder {
    /// Names that are left in the round, the next one last.
    names: Vec<String>,
}

impl ProbeOrder {
    /// Returns the name of the next member of the round, or `None` at the end of the round.
    pub(crate) fn pop(&mut self) -> Option<String> {
        self.names.pop()
    }

    /// Starts a round with these members, in random order.
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
