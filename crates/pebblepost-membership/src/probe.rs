//! Whom to probe next, and the probes under way.

use crate::member::Member;
use rand::{RngExt, rngs::SmallRng, seq::SliceRandom};
use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

/// Pings made for others that are remembered at the same time.
const MOST_RELAYS: usize = 64;

/// The probe of the current period.
pub(crate) struct Probe {
    pub(crate) member: Member,
    pub(crate) sequence: u64,
    /// When others are asked; `None` once they are.
    pub(crate) ask_others_at: Option<Duration>,
    pub(crate) answered: bool,
}

/// A ping made for another member.
struct Relay {
    sequence: u64,
    requester: SocketAddrV4,
    requester_sequence: u64,
}

/// Pings made for other members, the newest last.
#[derive(Default)]
pub(crate) struct Relays(VecDeque<Relay>);

impl Relays {
    pub(crate) fn push(&mut self, sequence: u64, requester: SocketAddrV4, requester_sequence: u64) {
        if self.0.len() == MOST_RELAYS {
            self.0.pop_front();
        }
        self.0.push_back(Relay { sequence, requester, requester_sequence });
    }

    /// Who asked for the ping of this sequence, and under which sequence.
    pub(crate) fn take(&mut self, sequence: u64) -> Option<(SocketAddrV4, u64)> {
        let index = self.0.iter().position(|relay| relay.sequence == sequence)?;
        self.0.remove(index).map(|relay| (relay.requester, relay.requester_sequence))
    }
}

/// Round-robin through all members, in an order drawn anew for each round.
#[derive(Default)]
pub(crate) struct Rotation {
    names: Vec<String>,
}

impl Rotation {
    /// The next name of the round.
    pub(crate) fn pop(&mut self) -> Option<String> {
        self.names.pop()
    }

    /// Starts a round.
    pub(crate) fn refill(&mut self, names: Vec<String>, random: &mut SmallRng) {
        self.names = names;
        self.names.shuffle(random);
    }

    /// Adds a new member at a random place of the round.
    pub(crate) fn insert(&mut self, name: String, random: &mut SmallRng) {
        let index = random.random_range(0..=self.names.len());
        self.names.insert(index, name);
    }
}
