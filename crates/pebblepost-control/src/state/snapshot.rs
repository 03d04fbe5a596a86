//! Snapshots: the stored form of the control state.

use super::change_history::ChangeHistory;
use super::configuration::ConfigurationState;
use super::control_state::ControlState;
use super::shutdowns::Shutdowns;
use super::storage::{GroupAssignment, RetirementState, StorageState};
use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_configuration::{Configuration, ConfigurationError};
use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeMap;
use thiserror::Error;

/// Reason why a snapshot can't be restored.
#[derive(Debug, Error)]
pub(super) enum SnapshotError {
    #[error("the snapshot can't be decoded: {0}")]
    Undecodable(#[from] DeBinErr),
    #[error("the configuration of the snapshot is invalid: {0}")]
    InvalidConfiguration(#[from] ConfigurationError),
}

/// The first part of a snapshot. The order of its fields is the stored form. Parts that were added later
/// ([`Shutdowns`]) follow it, and are absent in snapshots written by older versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
struct Snapshot {
    document: Option<Vec<u8>>,
    history: ChangeHistory,
    named_versions: BTreeMap<String, u64>,
    groups: BTreeMap<u32, GroupAssignment>,
    stores: BTreeMap<u64, Member>,
    retirements: BTreeMap<String, RetirementState>,
    order_lease_holder: DiskId,
}

/// Encodes the replicated part of the control state.
pub(super) fn encode(state: &ControlState) -> Vec<u8> {
    let storage = &state.storage;
    let snapshot = Snapshot {
        document: state.configuration().map(|configuration| configuration.document().to_vec()),
        history: state.configuration.history().clone(),
        named_versions: state.named_versions.clone(),
        groups: storage.groups.clone(),
        stores: storage.stores.iter().map(|(disk, member)| (disk.0, member.clone())).collect(),
        retirements: storage.retirements.clone(),
        order_lease_holder: state.order_lease_holder,
    };
    let mut bytes = SerBin::serialize_bin(&snapshot);
    state.shutdowns.ser_bin(&mut bytes);
    bytes
}

/// Decodes a snapshot written by this version or an older one.
pub(super) fn decode(bytes: &[u8]) -> Result<ControlState, SnapshotError> {
    let mut offset = 0;
    let snapshot = Snapshot::de_bin(&mut offset, bytes)?;
    let shutdowns =
        if bytes.len() > offset { Shutdowns::de_bin(&mut offset, bytes)? } else { Shutdowns::default() };
    let configuration = snapshot.document.map(|document| Configuration::parse(&document)).transpose()?;
    let stores = snapshot.stores.into_iter().map(|(disk, member)| (DiskId(disk), member)).collect();
    let mut state = ControlState::default();
    state.configuration = ConfigurationState::new(configuration, snapshot.history);
    state.named_versions = snapshot.named_versions;
    state.storage = StorageState { groups: snapshot.groups, stores, retirements: snapshot.retirements };
    state.order_lease_holder = snapshot.order_lease_holder;
    state.shutdowns = shutdowns;
    Ok(state)
}
