//! Settings of the store, made from the settings of the machine.

use crate::store::StoreSettings;
use pebblepost_batch::admission::Budget;
use pebblepost_batch::state::Retention;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::Tolerance;
use pebblepost_replication::replica::ReplicaSettings;
use pebblepost_ring::Opened;
use pebblepost_settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;

const BEACON: Duration = Duration::from_millis(200);
const LEASE: Duration = Duration::from_millis(900);
const GRACE: Duration = Duration::from_millis(1_100);
const MOST_LAG: Duration = Duration::from_millis(600);
const MOST_OWN_WRITE: Duration = Duration::from_millis(600);
const KEPT_BYTES: usize = 4 * 1024 * 1024;
/// A job that has ended is kept this much longer than promised.
const RETENTION_MARGIN: Duration = Duration::from_secs(10);
/// A job that nobody ends may still be read for this much longer.
const ABANDONED_MARGIN: Duration = Duration::from_secs(600);

/// Where this machine listens for other programs.
pub(super) fn listen_address(settings: &Settings) -> SocketAddr {
    SocketAddr::new(settings.ip, settings.store_link_port())
}

/// Bytes of the disk that the ring may take.
pub(super) fn ring_bytes(settings: &Settings) -> u64 {
    settings.limits.disk_bytes / 4 * 3
}

/// Settings of the store.
pub(super) fn store_settings(settings: &Settings, opened: &Opened) -> StoreSettings {
    let status = settings.bounds.job_retention;
    StoreSettings {
        me: Member {
            disk: DiskId(opened.identity),
            node: settings.node_name.clone(),
            address: listen_address(settings).to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        },
        bootstrap: settings.bootstrap && opened.records.is_empty(),
        replica: replica_settings(settings),
        retention: Retention { ended: status + RETENTION_MARGIN, open: status + ABANDONED_MARGIN },
        budget: Budget::new(settings.limits.memory_bytes, ring_bytes(settings)),
    }
}

fn replica_settings(settings: &Settings) -> ReplicaSettings {
    let tolerate = settings.tolerance;
    ReplicaSettings {
        tolerance: Tolerance {
            machines: tolerate.machines,
            zones: tolerate.zones,
            regions: tolerate.regions,
        },
        beacon: BEACON,
        lease: LEASE,
        grace: GRACE,
        most_lag: MOST_LAG,
        most_own_write: MOST_OWN_WRITE,
        kept_bytes: KEPT_BYTES,
    }
}
