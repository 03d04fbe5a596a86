//! Addresses at which the control primary may be found.

use std::net::SocketAddr;

/// Most addresses that are remembered besides the seeds.
const MOST_LEARNT: usize = 32;

/// Seeds and learnt addresses, tried in turn; a named primary goes first.
#[derive(Debug)]
pub(crate) struct Candidates {
    seeds: Vec<SocketAddr>,
    learnt: Vec<SocketAddr>,
    named_primary: Option<SocketAddr>,
    turn: usize,
}

impl Candidates {
    /// The seeds; the first try goes to the one that `start` picks, so that not all start at the same.
    pub(crate) fn new(seeds: Vec<SocketAddr>, start: u64) -> Candidates {
        let turn = start.checked_rem(seeds.len() as u64).unwrap_or(0) as usize;
        Candidates { seeds, learnt: Vec::new(), named_primary: None, turn }
    }

    /// Adds seeds of newer settings.
    pub(crate) fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
    }

    /// Takes the members of the control plane as last told; older ones are tried after them.
    pub(crate) fn learn(&mut self, members: &[String]) {
        let mut learnt: Vec<SocketAddr> = members.iter().filter_map(|text| text.parse().ok()).collect();
        learnt.append(&mut self.learnt);
        for address in learnt {
            if self.learnt.len() < MOST_LEARNT && !self.learnt.contains(&address) {
                self.learnt.push(address);
            }
        }
    }

    /// Has a named primary tried next.
    pub(crate) fn prefer(&mut self, primary: SocketAddr) {
        self.named_primary = Some(primary);
    }

    /// Next address to try.
    pub(crate) fn next(&mut self) -> Option<SocketAddr> {
        if let Some(primary) = self.named_primary.take() {
            return Some(primary);
        }
        let known = || self.learnt.iter().chain(self.seeds.iter().filter(|seed| !self.learnt.contains(seed)));
        let address = known().nth(self.turn.checked_rem(known().count())?).copied();
        self.turn = self.turn.wrapping_add(1);
        address
    }
}
