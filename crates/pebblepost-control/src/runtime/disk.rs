//! Opening of the disk: its identity, its records, and whether this process may bootstrap the group.

use super::error::ControlError;
use crate::membership::bootstrap::{bootstrap_disk, identity_to_format};
use crate::node::NodeSettings;
use crate::state::disk_record::RecoveredState;
use pebblepost_messages::DiskId;
use pebblepost_ring::{Completion, Disk};
use pebblepost_settings::Settings;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// The configured disk space is divided into this many parts.
const DISK_PARTS: u64 = 4;
/// Parts of the disk space that the log may take.
const LOG_PARTS: u64 = 3;

/// The disk, and the settings and state that follow from it.
pub(super) struct OpenedDisk {
    pub(super) disk: Disk,
    pub(super) node_settings: NodeSettings,
    pub(super) recovered: RecoveredState,
}

/// Opens the disk and decodes its records. Durable writes are reported to `completions`.
pub(super) fn open_disk(
    settings: &Settings, control_address: SocketAddr, completions: mpsc::UnboundedSender<Completion>,
) -> Result<OpenedDisk, ControlError> {
    let path = settings.data_dir.as_ref().ok_or(ControlError::MissingSetting { setting: "data_dir" })?;
    let max_bytes = settings.limits.disk_bytes / DISK_PARTS * LOG_PARTS;
    let identity = identity_to_format(settings).map(|disk| disk.0);
    let completed = Box::new(move |completion| {
        // The loop may have ended.
        completions.send(completion).ok();
    });
    let (disk, opened) = Disk::open(path, max_bytes, identity, completed)
        .map_err(|error| ControlError::OpenDisk { path: path.clone(), source: error.into() })?;
    let recovered = RecoveredState::decode(&opened.records)
        .map_err(|source| ControlError::DecodeRecords { path: path.clone(), source })?;
    let disk_id = DiskId(opened.identity);
    // Only a disk that was formatted at the first start of the whole system has this identity. If nothing was written
    // to it since, it still bootstraps, also after a restart.
    let may_bootstrap =
        settings.seeds.contains(&control_address) && disk_id == bootstrap_disk(control_address);
    log::info!("disk opened disk={:016x} new={} records={}", disk_id.0, opened.is_new, opened.records.len());
    let random_seed = disk_id.0 ^ u64::from(std::process::id());
    let node_settings = NodeSettings::new(settings, control_address, disk_id, may_bootstrap, random_seed);
    Ok(OpenedDisk { disk, node_settings, recovered })
}
