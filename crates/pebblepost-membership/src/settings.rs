//! Settings of the membership.

use std::{net::SocketAddrV4, time::Duration};

/// Settings; all members should use the same.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses at which to join; the local one may be among them.
    pub seeds: Vec<SocketAddrV4>,
    /// Time between two probes.
    pub period: Duration,
    /// Time without an acknowledgement after which others are asked to probe the same member.
    pub direct_timeout: Duration,
    /// Number of members that are asked then.
    pub indirect_probes: usize,
    /// Number of periods for which a member stays suspected, multiplied by the decimal logarithm of
    /// the number of members (at least 1).
    pub suspicion_periods: u32,
    /// How often an update is sent, multiplied by the binary logarithm of the number of members.
    pub retransmissions: u32,
    /// How long members are kept that are dead or have left.
    pub dead_retention: Duration,
    /// Periods between two exchanges of a page of the member list.
    pub exchange_periods: u32,
    /// Periods between two attempts to reach a dead member or a seed that isn't known to be alive.
    pub reconnect_periods: u32,
    /// Number of members that can be known at the same time; more are ignored.
    pub max_members: usize,
    /// Whether the local member refutes suspicions of itself. Off only in tests.
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
            dead_retention: Duration::from_secs(120),
            exchange_periods: 10,
            reconnect_periods: 5,
            max_members: 2_000,
            refute: true,
        }
    }
}
