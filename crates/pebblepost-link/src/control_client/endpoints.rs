//! Endpoints of the control plane at which the primary may be found.

use std::net::SocketAddr;

/// Most learned endpoints kept besides the seeds.
const MAX_LEARNED: usize = 32;

/// Seeds and learned endpoints, tried in rotation; a primary named by a redirect is tried first.
#[derive(Debug)]
pub(super) struct Endpoints {
    seeds: Vec<SocketAddr>,
    /// Members of the control plane, the newest first.
    learned: Vec<SocketAddr>,
    named_primary: Option<SocketAddr>,
    next_index: usize,
}

impl Endpoints {
    /// The seeds. The first attempt goes to the one at `start` modulo their number, so that a random `start` spreads
    /// the clients over all seeds.
    pub(super) fn new(seeds: Vec<SocketAddr>, start: u64) -> Endpoints {
        let next_index = start.checked_rem(seeds.len() as u64).unwrap_or(0) as usize;
        Endpoints { seeds, learned: Vec::new(), named_primary: None, next_index }
    }

    /// Adds seeds of newer settings.
    pub(super) fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
    }

    /// Learns the current members of the control plane. Earlier ones are kept after them; texts that are not
    /// addresses are ignored.
    pub(super) fn learn(&mut self, members: &[String]) {
        let mut newest_first: Vec<SocketAddr> =
            members.iter().filter_map(|member| member.parse().ok()).collect();
        newest_first.append(&mut self.learned);
        for address in newest_first {
            if self.learned.len() < MAX_LEARNED && !self.learned.contains(&address) {
                self.learned.push(address);
            }
        }
    }

    /// Has a named primary tried next.
    pub(super) fn set_named_primary(&mut self, primary: SocketAddr) {
        self.named_primary = Some(primary);
    }

    /// Next endpoint to try; `None` if none is known.
    pub(super) fn next(&mut self) -> Option<SocketAddr> {
        if let Some(primary) = self.named_primary.take() {
            return Some(primary);
        }
        let known =
            || self.learned.iter().chain(self.seeds.iter().filter(|seed| !self.learned.contains(seed)));
        let address = known().nth(self.next_index.checked_rem(known().count())?).copied();
        self.next_index = self.next_index.wrapping_add(1);
        address
    }
}
