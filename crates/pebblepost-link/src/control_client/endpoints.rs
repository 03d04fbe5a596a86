//! Endpoints of the control plane, one of which is the primary.

use std::net::SocketAddr;

/// Maximum number of learned endpoints that are kept in addition to the seeds.
const MAX_LEARNED_ENDPOINTS: usize = 32;

/// Seeds and learned endpoints, tried in rotation. A primary named by a redirect is tried before them.
#[derive(Debug)]
pub(super) struct Endpoints {
    seeds: Vec<SocketAddr>,
    /// Known members of the control plane, those learned last first.
    learned: Vec<SocketAddr>,
    redirect_target: Option<SocketAddr>,
    next_index: usize,
}

impl Endpoints {
    /// Creates endpoints from the seeds. The first attempt goes to the seed at `start` modulo their number, so that a
    /// random `start` spreads the clients over all seeds.
    pub(super) fn new(seeds: Vec<SocketAddr>, start: u64) -> Endpoints {
        let next_index = start.checked_rem(seeds.len() as u64).unwrap_or(0) as usize;
        Endpoints { seeds, learned: Vec::new(), redirect_target: None, next_index }
    }

    /// Adds the seeds of newer settings. Earlier seeds are kept.
    pub(super) fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
    }

    /// Adds the current members of the control plane before those learned earlier. Strings that are not addresses are
    /// ignored.
    pub(super) fn add_members(&mut self, members: &[String]) {
        let mut newest_first: Vec<SocketAddr> =
            members.iter().filter_map(|member| member.parse().ok()).collect();
        newest_first.append(&mut self.learned);
        for address in newest_first {
            if self.learned.len() < MAX_LEARNED_ENDPOINTS && !self.learned.contains(&address) {
                self.learned.push(address);
            }
        }
    }

    /// Makes the primary that a redirect named the next endpoint to try.
    pub(super) fn set_redirect_target(&mut self, primary: SocketAddr) {
        self.redirect_target = Some(primary);
    }

    /// Returns the next endpoint to try, or `None` if none is known.
    pub(super) fn next(&mut self) -> Option<SocketAddr> {
        if let Some(primary) = self.redirect_target.take() {
            return Some(primary);
        }
        let known =
            || self.learned.iter().chain(self.seeds.iter().filter(|seed| !self.learned.contains(seed)));
        let address = known().nth(self.next_index.checked_rem(known().count())?).copied();
        self.next_index = self.next_index.wrapping_add(1);
        address
    }
}
