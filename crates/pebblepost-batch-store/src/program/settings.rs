//! Settings of the store, derived from the settings of the machine.

use crate::store::StoreSettings;
use pebblepost_batch::admission::MemoryBudget;
use pebblepost_batch::state::Retention;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::Tolerance;
use pebblepost_replication::replica::ReplicaSettings;
use pebblepost_ring::Recovered;
use pebblepost_settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;

/// How often a primary sends beacons.
const BEACON_PERIOD: Duration = Duration::from_millis(200);
/// How long a confirmed beacon lets a primary act.
const LEASE_DURATION: Duration = Duration::from_millis(900);
/// How long a replica waits after a beacon before it stands for primary; longer than the lease.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_100);
/// A replica that has not confirmed an entry for this time is dropped.
const MAX_REPLICATION_LAG: Duration = Duration::from_millis(600);
/// A primary whose own write takes this long stops acting.
const MAX_LOCAL_WRITE_TIME: Duration = Duration::from_millis(600);
/// Committed log entries that are retained for replicas that lag behind, in bytes.
const RETAINED_LOG_BYTES: usize = 4 * 1024 * 1024;
/// Retention of an ended job beyond the configured one.
const ENDED_JOB_MARGIN: Duration = Duration::from_secs(10);
/// Retention of a job that nobody ends beyond the configured one.
const OPEN_JOB_MARGIN: Duration = Duration::from_secs(600);

/// Where this machine listens for other programs.
pub(super) fn listen_address(settings: &Settings) -> SocketAddr {
    SocketAddr::new(settings.ip, settings.store_link_port())
}

/// Limit on the size of the ring in bytes: three quarters of the disk limit.
pub(super) fn ring_bytes(settings: &Settings) -> u64 {
    settings.limits.disk_bytes / 4 * 3
}

/// Settings of the store.
pub(super) fn store_settings(settings: &Settings, opened: &Recovered) -> StoreSettings {
    let job_retention = settings.bounds.job_retention;
    StoreSettings {
        member: Member {
            disk: DiskId(opened.identity),
            node: settings.node_name.clone(),
            address: listen_address(settings).to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        },
        bootstrap: settings.bootstrap && opened.records.is_empty(),
        replica: replica_settings(settings),
        retention: Retention {
            ended: job_retention + ENDED_JOB_MARGIN,
            open: job_retention + OPEN_JOB_MARGIN,
        },
        budget: MemoryBudget::new(settings.limits.memory_bytes, ring_bytes(settings)),
    }
}

fn replica_settings(settings: &Settings) -> ReplicaSettings {
    let tolerance = settings.tolerance;
    ReplicaSettings {
        tolerance: Tolerance {
            machines: tolerance.machines,
            zones: tolerance.zones,
            regions: tolerance.regions,
        },
        heartbeat_interval: BEACON_PERIOD,
        lease: LEASE_DURATION,
        election_timeout: ELECTION_TIMEOUT,
        max_replica_lag: MAX_REPLICATION_LAG,
        write_timeout: MAX_LOCAL_WRITE_TIME,
        max_log_bytes: RETAINED_LOG_BYTES,
    }
}
