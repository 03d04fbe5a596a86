//! Tunables of the membership.

use std::{net::SocketAddrV4, time::Duration};

/// Tunables; all members should use the same.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses at which to join, the own one allowed among them.
    pub seeds: Vec<SocketAddrV4>,
    /// Time between two probes.
    pub period: Duration,
    /// Silence after which others are asked to probe the same member.
    pub direct_timeout: Duration,
    /// Number of members asked to probe a silent one.
    pub indirect_probes: usize,
    /// Periods that a member stays suspected, times the decimal logarithm of the member count (at
    /// least 1).
    pub suspicion_periods: u32,
    /// A piece of news is sent this often times the binary logarithm of the member count.
    pub retransmissions: u32,
    /// How long dead and departed members are remembered.
    pub remember: Duration,
    /// Periods between two exchanges of a page of the member list.
    pub exchange_periods: u32,
    /// Periods between two tries to reach a dead member or a seed that isn't known to be alive.
    pub reconnect_periods: u32,
    /// Most members known at the same time; more are ignored.
    pub most_members: usize,
    /// Refute suspicion of oneself. Off only in tests.
    pub refute: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            seeds: Vec::new(),
            period: Duration::from_millis(1000),
            direct_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_periods: 4,
            retransmissions: 3,
            remember: Duration::from_secs(120),
            exchange_periods: 10,
            reconnect_periods: 5,
            most_members: 2_000,
            refute: true,
        }
    }
}
