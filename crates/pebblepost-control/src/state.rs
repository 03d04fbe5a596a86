//! The replicated control state.
//!
//! Owns everything that outlives a primary: the configuration, named versions, storage assignments, the holder of the
//! order lease and graceful shutdowns. It is changed only by [`Command`]s of the replicated log, deterministically, so
//! concurrent requests are serialized by the log. It never does I/O, reads no clock and draws no random numbers.

mod change_history;
pub mod command;
mod configuration;
pub mod disk_record;
pub mod shutdowns;
mod snapshot;
mod storage;

pub use change_history::{AcceptedChange, ChangeHistory};
pub use configuration::LastPatch;
pub use storage::{GroupAssignment, RetirementState};

use command::{ChangeError, Command, ConfigurationChange, Outcome};
use configuration::ConfigurationState;
use nanoserde::DeBin;
use pebblepost_configuration::Configuration;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::replica::StateMachine;
use shutdowns::Shutdowns;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use storage::StorageState;

/// Outcomes kept for the requests that proposed the commands.
const MAX_OUTCOMES: usize = 1024;

/// The replicated control state.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    configuration: ConfigurationState,
    named_versions: BTreeMap<String, u64>,
    storage: StorageState,
    order_lease_holder: DiskId,
    shutdowns: Shutdowns,
    /// Index and outcome of the entries applied last. Local: not part of the snapshot.
    outcomes: VecDeque<(u64, Outcome)>,
    is_damaged: bool,
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
        self.configuration.history().accepted_generation(change)
    }

    /// The configuration that `change` would produce.
    ///
    /// # Errors
    /// If the change is not based on the current version, or is invalid.
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
        self.outcomes.iter().rev().find(|(applied, _)| *applied == index).map(|(_, outcome)| outcome)
    }

    fn apply_command(&mut self, command: Command) -> Outcome {
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

    /// Versions only rise.
    fn name_version(&mut self, model: String, generation: u64) -> Outcome {
        let named = self.named_versions.entry(model).or_default();
        *named = generation.max(*named);
        Outcome::VersionNamed
    }
}

impl StateMachine for ControlState {
    fn apply(&mut self, index: u64, entry: &[u8]) {
        let outcome = match Command::deserialize_bin(entry) {
            Ok(command) => self.apply_command(command),
            Err(error) => {
                log::error!("control state: entry not applied index={index} error={error}");
                self.is_damaged = true;
                Outcome::Undecodable
            }
        };
        self.outcomes.push_back((index, outcome));
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        snapshot::encode(self)
    }

    fn restore(&mut self, snapshot: &[u8]) {
        *self = snapshot::decode(snapshot).unwrap_or_else(|error| {
            log::error!("control state: snapshot not restored error={error}");
            ControlState { is_damaged: true, ..ControlState::default() }
        });
    }

    fn is_damaged(&self) -> bool {
        self.is_damaged
    }
}
