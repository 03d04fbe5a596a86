//! Settings of a control node.

use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::Tolerance;
use pebblepost_settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a control node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Identity of this node: its disk, machine name and link address.
    pub me: Member,
    /// Address of the HTTP interface. The port is the same on all machines.
    pub control_address: SocketAddr,
    /// Port of links between programs, the same on all machines.
    pub link_port: u16,
    /// Addresses of the seeds' HTTP interfaces.
    pub seeds: Vec<SocketAddr>,
    /// Whether this node bootstraps the control group if nothing was written to its disk yet.
    pub may_bootstrap: bool,
    /// Number of machines, zones and regions whose failure the deployment has to survive.
    pub tolerance: Tolerance,
    /// Interval at which instances send heartbeats.
    pub heartbeat_interval: Duration,
    /// Time after which load orders of a former primary can no longer take effect.
    pub order_lease: Duration,
    /// Seed of the random number generator.
    pub random_seed: u64,
}

impl NodeSettings {
    /// Derives the settings of a node whose disk has the identity `disk` from the settings file.
    pub fn new(
        settings: &Settings, control_address: SocketAddr, disk: DiskId, may_bootstrap: bool, random_seed: u64,
    ) -> NodeSettings {
        let link_port = settings.control_link_port();
        let me = Member {
            disk,
            node: settings.node_name.clone(),
            address: SocketAddr::new(control_address.ip(), link_port).to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let tolerance = settings.tolerance;
        NodeSettings {
            me,
            control_address,
            link_port,
            seeds: settings.seeds.clone(),
            may_bootstrap,
            tolerance: Tolerance {
                machines: tolerance.machines,
                zones: tolerance.zones,
                regions: tolerance.regions,
            },
            heartbeat_interval: settings.heartbeat_interval,
            order_lease: settings.bounds.lease_duration,
            random_seed,
        }
    }

    /// Returns the smallest number of witnesses of which a majority survives the tolerated failures.
    pub(super) fn witness_set_size(&self) -> usize {
        2 * self.tolerance.machines.max(self.tolerance.zones).max(self.tolerance.regions) + 1
    }

    /// Returns the link addresses of the seeds.
    pub(super) fn seed_links(&self) -> impl Iterator<Item = String> + use<> {
        let port = self.link_port;
        let seeds = self.seeds.clone();
        seeds.into_iter().map(move |seed| SocketAddr::new(seed.ip(), port).to_string())
    }
}
