//! The parts of the control state, what may be read of them, and how commands change them.

use super::change_history::ChangeLookup;
use super::command::{ChangeError, Command, ConfigurationChange, Outcome};
use super::configuration::{ConfigurationState, LastPatch};
use super::shutdowns::Shutdowns;
use super::storage::{GroupAssignment, RetirementState, StorageState};
use pebblepost_configuration::Configuration;
use pebblepost_messages::{DiskId, Member};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Outcomes kept for the requests that proposed the commands. They are read when the entry is committed; one that is gone
/// by then is answered as unknown (503).
const MAX_OUTCOMES: usize = 1024;

/// An entry that was applied here.
#[derive(Clone, Debug)]
struct AppliedEntry {
    index: u64,
    outcome: Outcome,
}

/// The replicated control state.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    pub(super) configuration: ConfigurationState,
    pub(super) named_versions: BTreeMap<String, u64>,
    pub(super) storage: StorageState,
    pub(super) order_lease_holder: DiskId,
    pub(super) shutdowns: Shutdowns,
    /// The entries applied last. Local: not part of the snapshot.
    applied: VecDeque<AppliedEntry>,
    /// Whether an entry or a snapshot could not be decoded.
    pub(super) is_damaged: bool,
}

impl ControlState {
    /// The configuration, if one was accepted.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.current()
    }

    /// Version of the configuration, 0 for none.
    pub fn generation(&self) -> u64 {
        self.configuration.generation()
    }

    /// The patch that produced the current version, if it was produced by one.
    pub fn last_patch(&self) -> Option<&LastPatch> {
        self.configuration.last_patch()
    }

    /// The version that exactly this change produced, if it was accepted before.
    pub fn accepted_generation(&self, change: &ConfigurationChange) -> Option<u64> {
        match self.configuration.history().lookup(change) {
            ChangeLookup::Accepted { generation } => Some(generation),
            ChangeLookup::NotAccepted | ChangeLookup::Evicted => None,
        }
    }

    /// The configuration that `change` would produce.
    ///
    /// # Errors
    /// If the change is not based on the current version, or is invalid, or may have been accepted so long ago that this
    /// is not known any more.
    pub fn validate(&self, change: &ConfigurationChange) -> Result<Configuration, ChangeError> {
        self.configuration.validate(change)
    }

    /// Named version of each model.
    pub fn named_versions(&self) -> &BTreeMap<String, u64> {
        &self.named_versions
    }

    /// Assignments of the groups of batch jobs.
    pub fn groups(&self) -> &BTreeMap<u32, GroupAssignment> {
        &self.storage.groups
    }

    /// Known disks of storage nodes.
    pub fn stores(&self) -> &BTreeMap<DiskId, Member> {
        &self.storage.stores
    }

    /// Disks that a storage node has or had.
    pub fn disks_of(&self, node: &str) -> Vec<DiskId> {
        self.storage.disks_of(node)
    }

    /// Storage nodes that retire or are retired.
    pub fn retirements(&self) -> &BTreeMap<String, RetirementState> {
        &self.storage.retirements
    }

    /// Disk of the primary that may have sent load orders last; 0 for none.
    pub fn order_lease_holder(&self) -> DiskId {
        self.order_lease_holder
    }

    /// Graceful shutdowns of transcribers.
    pub fn shutdowns(&self) -> &Shutdowns {
        &self.shutdowns
    }

    /// Outcome of the entry at an index, if it was applied here and is among the newest ones.
    pub fn outcome(&self, index: u64) -> Option<&Outcome> {
        self.applied.iter().rev().find(|entry| entry.index == index).map(|entry| &entry.outcome)
    }

    /// Applies a command and returns what it did.
    pub(super) fn apply_command(&mut self, command: Command) -> Outcome {
        match command {
            Command::ChangeConfiguration(change) => self.configuration.apply(change),
            Command::NameVersion { model, generation } => self.name_version(model, generation),
            Command::BootstrapGroups(assignments) => self.storage.bootstrap_groups(assignments),
            Command::ChangeGroup { proposer, group, expected_epoch, proposed } => {
                self.storage.change_group(proposer, group, expected_epoch, proposed)
            }
            Command::AddStore(member) => self.storage.add_store(member),
            Command::RemoveStore(disk) => self.storage.remove_store(disk),
            Command::Retire { node, min_remaining } => self.storage.retire(node, min_remaining),
            Command::CompleteRetirement { node } => self.storage.complete_retirement(&node),
            Command::SetTargets { group, targets } => self.storage.set_targets(group, targets),
            Command::AcquireOrderLease { holder } => {
                self.order_lease_holder = holder;
                Outcome::Applied
            }
            Command::RecordShutdown { instance, phase } => {
                self.shutdowns.record(instance, phase);
                Outcome::Applied
            }
        }
    }

    /// An empty state that counts as damaged.
    pub(super) fn damaged() -> ControlState {
        ControlState { is_damaged: true, ..ControlState::default() }
    }

    /// Keeps the outcome of the entry at an index for the request that proposed it.
    pub(super) fn record_outcome(&mut self, index: u64, outcome: Outcome) {
        self.applied.push_back(AppliedEntry { index, outcome });
        if self.applied.len() > MAX_OUTCOMES {
            self.applied.pop_front();
        }
    }

    /// Versions only rise.
    fn name_version(&mut self, model: String, generation: u64) -> Outcome {
        let named = self.named_versions.entry(model).or_default();
        *named = generation.max(*named);
        Outcome::VersionNamed
    }
}
