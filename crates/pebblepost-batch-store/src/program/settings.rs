//! The store's settings, derived from the settings of the machine.

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

/// Interval between heartbeats of a primary.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a primary may act after it sent a heartbeat that was acknowledged.
const PRIMARY_LEASE_DURATION: Duration = Duration::from_millis(900);
/// Time without a heartbeat after which a replica starts an election. It is longer than the lease, so that
/// the lease of the earlier primary has expired by then.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Time after which a replica that has not acknowledged an entry or a heartbeat is dropped from the
/// in-sync replicas.
const MAX_REPLICA_LAG: Duration = Duration::from_millis(600);
/// Time after which a primary stops acting if its own disk has not completed a write.
const LOCAL_WRITE_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum size of the log entries kept in memory, with which lagging replicas catch up without a
/// snapshot.
const MAX_LOG_BYTES: usize = 4 * 1024 * 1024;
/// Time added to the configured retention period for a job that has ended.
const ENDED_JOB_RETENTION_MARGIN: Duration = Duration::from_secs(10);
/// Time added to the configured retention period for a job that has not ended.
const OPEN_JOB_RETENTION_MARGIN: Duration = Duration::from_secs(600);

/// Returns the address on which this machine listens for links of other programs.
pub(super) fn listen_address(settings: &Settings) -> SocketAddr {
    SocketAddr::new(settings.ip, settings.store_link_port())
}

/// Returns the maximum size of the ring in bytes, which is three quarters of the disk limit.
pub(super) fn ring_bytes(settings: &Settings) -> u64 {
    settings.limits.disk_bytes / 4 * 3
}

/// Derives the settings of the store from those of the machine and the recovered disk.
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
            ended: job_retention + ENDED_JOB_RETENTION_MARGIN,
            open: job_retention + OPEN_JOB_RETENTION_MARGIN,
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
        heartbeat_interval: HEARTBEAT_INTERVAL,
        lease: PRIMARY_LEASE_DURATION,
        election_timeout: ELECTION_TIMEOUT,
        max_replica_lag: MAX_REPLICA_LAG,
        write_timeout: LOCAL_WRITE_TIMEOUT,
        max_log_bytes: MAX_LOG_BYTES,
    }
}
