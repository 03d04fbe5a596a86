//! Opening the disk: its identity, its records, and whether this node may bootstrap the control group.

use super::error::ControlError;
use crate::membership::bootstrap::{bootstrap_disk, identity_to_format};
use crate::node::NodeSettings;
use crate::state::disk_record::RecoveredState;
use pebblepost_messages::DiskId;
use pebblepost_ring::{Completion, Disk};
use pebblepost_settings::Settings;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Denominator of the share of the configured disk space that the log may use.
const LOG_SHARE_DENOMINATOR: u64 = 4;
/// Numerator of the share of the configured disk space that the log may use.
const LOG_SHARE_NUMERATOR: u64 = 3;

/// The opened disk, with the settings and the state derived from it.
pub(super) struct OpenedDisk {
    pub(super) disk: Disk,
    pub(super) node_settings: NodeSettings,
    pub(super) recovered: RecoveredState,
}

/// Opens the disk and decodes its records. Completed writes are reported to `completions`.
///
/// # Errors
/// If the data directory is not set, the disk can't be opened, or a record can't be decoded.
pub(super) fn open_disk(
    settings: &Settings, control_address: SocketAddr, completions: mpsc::UnboundedSender<Completion>,
) -> Result<OpenedDisk, ControlError> {
    let path = settings.data_dir.as_ref().ok_or(ControlError::MissingSetting { setting: "data_dir" })?;
    let max_bytes = settings.limits.disk_bytes / LOG_SHARE_DENOMINATOR * LOG_SHARE_NUMERATOR;
    let identity = identity_to_format(settings).map(|disk| disk.0);
    let completed = Box::new(move |completion| {
        // The event loop may have ended.
        completions.send(completion).ok();
    });
    let (disk, opened) = Disk::open(path, max_bytes, identity, completed)
        .map_err(|error| ControlError::OpenDisk { path: path.clone(), source: error.into() })?;
    let recovered = RecoveredState::decode(&opened.records)
        .map_err(|source| ControlError::DecodeRecords { path: path.clone(), source })?;
    let disk_id = DiskId(opened.identity);
    // Only a disk that was formatted at the first start of the whole system has this identity. As long as nothing
    // else is written to it, the node may bootstrap, also after a restart.
    let may_bootstrap =
        settings.seeds.contains(&control_address) && disk_id == bootstrap_disk(control_address);
    log::info!("disk opened disk={:016x} new={} records={}", disk_id.0, opened.is_new, opened.records.len());
    let random_seed = disk_id.0 ^ u64::from(std::process::id());
    let node_settings = NodeSettings::new(settings, control_address, disk_id, may_bootstrap, random_seed);
    Ok(OpenedDisk { disk, node_settings, recovered })
}
