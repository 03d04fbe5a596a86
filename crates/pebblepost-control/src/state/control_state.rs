//! The control state: its components, queries, and the application of commands.

use super::change_history::ChangeLookup;
use super::command::{ChangeError, Command, ConfigurationChange, Outcome};
use super::configuration::{ConfigurationState, LastPatch};
use super::shutdowns::Shutdowns;
use super::storage::{GroupAssignment, RetirementState, StorageState};
use pebblepost_configuration::Configuration;
use pebblepost_messages::{DiskId, Member};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Limit on the retained outcomes. They are read by the requests that proposed the commands when their entries are
/// committed. A request whose outcome was evicted by then is answered as unknown (503).
const MAX_RETAINED_OUTCOMES: usize = 1024;

/// A log entry that was applied by this replica.
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
    /// The most recently applied entries. Local to this replica and not part of the snapshot.
    applied: VecDeque<AppliedEntry>,
    /// Whether a log entry or a snapshot could not be decoded.
    pub(super) is_damaged: bool,
}

impl ControlState {
    /// Returns the configuration, if one was accepted.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.current()
    }

    /// Returns the version of the configuration, 0 for none.
    pub fn generation(&self) -> u64 {
        self.configuration.generation()
    }

    /// Returns the patch that produced the current version, if it was produced by one.
    pub fn last_patch(&self) -> Option<&LastPatch> {
        self.configuration.last_patch()
    }

    /// Returns the version that exactly this change produced, if it was accepted before.
    pub fn accepted_generation(&self, change: &ConfigurationChange) -> Option<u64> {
        match self.configuration.history().lookup(change) {
            ChangeLookup::Accepted { generation } => Some(generation),
            ChangeLookup::NotAccepted | ChangeLookup::Evicted => None,
        }
    }

    /// Returns the configuration that `change` would produce.
    ///
    /// # Errors
    /// If the change is not based on the current version, is invalid, or is based on a version that was evicted from
    /// the change history.
    pub fn validate(&self, change: &ConfigurationChange) -> Result<Configuration, ChangeError> {
        self.configuration.validate(change)
    }

    /// Returns the named version of each model.
    pub fn named_versions(&self) -> &BTreeMap<String, u64> {
        &self.named_versions
    }

    /// Returns the assignments of the store groups.
    pub fn groups(&self) -> &BTreeMap<u32, GroupAssignment> {
        &self.storage.groups
    }

    /// Returns the known disks of storage nodes.
    pub fn stores(&self) -> &BTreeMap<DiskId, Member> {
        &self.storage.stores
    }

    /// Returns the disks that a storage node has or had.
    pub fn disks_of(&self, node: &str) -> Vec<DiskId> {
        self.storage.disks_of(node)
    }

    /// Returns the storage nodes that are retiring or retired.
    pub fn retirements(&self) -> &BTreeMap<String, RetirementState> {
        &self.storage.retirements
    }

    /// Returns the disk of the last primary that was allowed to send load orders, 0 for none.
    pub fn order_lease_holder(&self) -> DiskId {
        self.order_lease_holder
    }

    /// Returns the recorded graceful shutdowns of instances.
    pub fn shutdowns(&self) -> &Shutdowns {
        &self.shutdowns
    }

    /// Returns the outcome of the entry at `index`, if this replica applied it and the outcome is still retained.
    pub fn outcome(&self, index: u64) -> Option<&Outcome> {
        self.applied.iter().rev().find(|entry| entry.index == index).map(|entry| &entry.outcome)
    }

    /// Applies a command and returns its outcome.
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

    /// Returns an empty state that counts as damaged.
    pub(super) fn damaged() -> ControlState {
        ControlState { is_damaged: true, ..ControlState::default() }
    }

    /// Retains the outcome of the entry at `index` for the request that proposed it.
    pub(super) fn record_outcome(&mut self, index: u64, outcome: Outcome) {
        self.applied.push_back(AppliedEntry { index, outcome });
        if self.applied.len() > MAX_RETAINED_OUTCOMES {
            self.applied.pop_front();
        }
    }

    /// Names a version of a model. A version below the named one has no effect.
    fn name_version(&mut self, model: String, generation: u64) -> Outcome {
        let named = self.named_versions.entry(model).or_default();
        *named = generation.max(*named);
        Outcome::VersionNamed
    }
}
