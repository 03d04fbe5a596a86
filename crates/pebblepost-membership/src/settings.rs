//! Settings of the membership protocol.

use std::{net::SocketAddrV4, time::Duration};

/// Settings of the membership protocol. All members should use the same values.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of the members through which to join. The local address may be among them.
    pub seeds: Vec<SocketAddrV4>,
    /// Protocol period: the time between two probes.
    pub probe_period: Duration,
    /// Time without an acknowledgement of a direct probe after which other members are asked to probe the same member.
    pub direct_probe_timeout: Duration,
    /// Number of members that are asked for an indirect probe.
    pub indirect_probe_count: usize,
    /// Multiplier of the suspicion timeout. The timeout in periods is this number multiplied by the decimal logarithm
    /// of the number of members, where the logarithm counts as at least 1.
    pub suspicion_multiplier: u32,
    /// Multiplier of the retransmission limit. An update is sent this many times, multiplied by the binary logarithm of
    /// the number of members.
    pub retransmit_multiplier: u32,
    /// Time for which members that are dead or have left are kept in the member list.
    pub dead_retention: Duration,
    /// Number of periods between two requests for a page of another member's list.
    pub exchange_interval_periods: u32,
    /// Number of periods between two attempts to reach a dead member, or a seed that is not known to be present.
    pub reconnect_interval_periods: u32,
    /// Upper bound on the number of other members in the member list. Further members are ignored.
    pub max_members: usize,
    /// Whether the local member refutes suspicions about itself. Disabled only in tests.
    pub refutes_suspicions: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            seeds: Vec::new(),
            probe_period: Duration::from_millis(1000),
            direct_probe_timeout: Duration::from_millis(300),
            indirect_probe_count: 3,
            suspicion_multiplier: 4,
            retransmit_multiplier: 3,
            dead_retention: Duration::from_secs(120),
            exchange_interval_periods: 10,
            reconnect_interval_periods: 5,
            max_members: 2_000,
            refutes_suspicions: true,
        }
    }
}
