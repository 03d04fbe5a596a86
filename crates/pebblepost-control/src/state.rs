//! The replicated control state. Entries change it deterministically: races between callers are
//! settled by the order of the log.

use crate::command::{
    ChangeMethod, ChangeRefusal, Command, ConfigurationChange, FoundedGroup, Outcome, RetireRefusal,
};
use crate::departures::Departures;
use crate::history::History;
use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_configuration::Configuration;
use pebblepost_messages::control::GroupEpoch;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::replica::StateMachine;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Outcomes kept for their proposers.
const MOST_OUTCOMES: usize = 1024;

/// How far the emptying of a storage machine is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub enum RetirementState {
    /// It still holds something.
    #[default]
    Running,
    /// It holds nothing and may be taken away.
    Completed,
}

/// Assignment of a group of batch jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct GroupAssignment {
    /// Who holds it.
    pub epoch: GroupEpoch,
    /// Who should hold it.
    pub targets: Vec<DiskId>,
}

/// A patch and the version that it was applied to, to pass the change on in its short form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastPatch {
    /// Version that it builds on.
    pub base: u64,
    /// Version that it made.
    pub generation: u64,
    /// The patch, JSON.
    pub patch: Vec<u8>,
}

/// What survives as a snapshot. Parts that came later follow it, and are missing in snapshots of older programs.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
struct Snapshot {
    document: Option<Vec<u8>>,
    history: History,
    named_versions: BTreeMap<String, u64>,
    groups: BTreeMap<u32, GroupAssignment>,
    stores: BTreeMap<u64, Member>,
    retirements: BTreeMap<String, RetirementState>,
    order_holder: DiskId,
}

/// The replicated control state.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    configuration: Option<Arc<Configuration>>,
    history: History,
    last_patch: Option<LastPatch>,
    named_versions: BTreeMap<String, u64>,
    groups: BTreeMap<u32, GroupAssignment>,
    stores: BTreeMap<DiskId, Member>,
    retirements: BTreeMap<String, RetirementState>,
    order_holder: DiskId,
    departures: Departures,
    outcomes: VecDeque<(u64, Outcome)>,
    is_damaged: bool,
}

impl ControlState {
    /// The configuration, if one was taken.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Version of the configuration, 0 for none.
    pub fn generation(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.generation())
    }

    /// The patch that made the current version, if it was made by one.
    pub fn last_patch(&self) -> Option<&LastPatch> {
        self.last_patch.as_ref()
    }

    /// Named versions, by model.
    pub fn named_versions(&self) -> &BTreeMap<String, u64> {
        &self.named_versions
    }

    /// Assignments of the groups of batch jobs.
    pub fn groups(&self) -> &BTreeMap<u32, GroupAssignment> {
        &self.groups
    }

    /// Known disks of storage machines.
    pub fn stores(&self) -> &BTreeMap<DiskId, Member> {
        &self.stores
    }

    /// Storage machines that are or were emptied.
    pub fn retirements(&self) -> &BTreeMap<String, RetirementState> {
        &self.retirements
    }

    /// Transcribers that are on their way out.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// The version made by this very change, if it was taken.
    pub fn taken(&self, change: &ConfigurationChange) -> Option<u64> {
        self.history.taken(change)
    }

    /// What the entry at an index did, if it was applied here lately.
    pub fn outcome(&self, index: u64) -> Option<&Outcome> {
        self.outcomes.iter().rev().find(|(applied, _)| *applied == index).map(|(_, outcome)| outcome)
    }

    /// The configuration that a change would make now.
    pub fn check(&self, change: &ConfigurationChange) -> Result<Configuration, ChangeRefusal> {
        let current = self.generation();
        if change.base != current {
            return Err(ChangeRefusal::OtherVersion { current });
        }
        let invalid = |refused: pebblepost_configuration::ConfigurationError| {
            ChangeRefusal::Invalid(refused.to_string())
        };
        let made = match (change.method, &self.configuration) {
            (ChangeMethod::Whole, _) => Configuration::parse(&change.body).map_err(invalid)?,
            (ChangeMethod::Patch, Some(configuration)) => {
                configuration.patched(&change.body).map_err(invalid)?
            }
            (ChangeMethod::Patch, None) => {
                return Err(ChangeRefusal::Invalid("there is no configuration to patch".into()));
            }
        };
        if made.generation() <= current {
            let reason = format!("generation {} is not above the current {current}", made.generation());
            return Err(ChangeRefusal::Invalid(reason));
        }
        Ok(made)
    }

    fn apply_command(&mut self, command: Command) -> Outcome {
        match command {
            Command::ChangeConfiguration(change) => self.change_configuration(change),
            Command::NameVersion { model, generation } => self.name_version(model, generation),
            Command::FoundStoreGroups(founded) => self.found_groups(founded),
            Command::ChangeGroup { proposer, group, expected_epoch, proposed } => {
                self.change_group(proposer, group, expected_epoch, proposed)
            }
            Command::StoreJoined(member) => self.store_joined(member),
            Command::StoreLeft(disk) => {
                self.stores.remove(&disk);
                Outcome::Applied
            }
            Command::Retire { node, least_remaining } => self.retire(node, least_remaining),
            Command::RetireCompleted { node } => self.complete_retirement(&node),
            Command::SetTargets { group, targets } => self.set_targets(group, targets),
            Command::HoldOrders { holder } => {
                self.order_holder = holder;
                Outcome::Applied
            }
            Command::NoteDeparture { instance, departure } => {
                self.departures.note(instance, departure);
                Outcome::Applied
            }
        }
    }

    fn change_configuration(&mut self, change: ConfigurationChange) -> Outcome {
        if let Some(generation) = self.taken(&change) {
            return Outcome::ConfigurationTaken { generation };
        }
        let made = match self.check(&change) {
            Ok(made) => made,
            Err(refusal) => return Outcome::ConfigurationRefused(refusal),
        };
        let generation = made.generation();
        self.history.note(&change, generation);
        self.last_patch = match change.method {
            ChangeMethod::Whole => None,
            ChangeMethod::Patch => Some(LastPatch { base: change.base, generation, patch: change.body }),
        };
        self.configuration = Some(Arc::new(made));
        Outcome::ConfigurationTaken { generation }
    }

    fn name_version(&mut self, model: String, generation: u64) -> Outcome {
        let named = self.named_versions.entry(model).or_default();
        *named = generation.max(*named);
        Outcome::VersionNamed
    }

    fn found_groups(&mut self, founded: Vec<FoundedGroup>) -> Outcome {
        if !self.groups.is_empty() {
            return Outcome::Applied;
        }
        for FoundedGroup { group, primary, replicas } in founded {
            let epoch = GroupEpoch { epoch: 1, primary, in_sync: replicas.clone() };
            self.groups.insert(group, GroupAssignment { epoch, targets: replicas });
        }
        Outcome::Applied
    }

    /// The change is decided by the epoch that it builds on. Who holds everything, and may be in
    /// sync or primary next, only an in-sync replica can know.
    fn change_group(
        &mut self, proposer: DiskId, group: u32, expected_epoch: u64, proposed: GroupEpoch,
    ) -> Outcome {
        let Some(current) = self.groups.get(&group).map(|assignment| assignment.epoch.clone()) else {
            return Outcome::GroupChanged { accepted: false, current: GroupEpoch::default() };
        };
        if current == proposed {
            return Outcome::GroupChanged { accepted: true, current };
        }
        let follows =
            current.epoch == expected_epoch && expected_epoch.checked_add(1) == Some(proposed.epoch);
        let is_proper = current.in_sync.contains(&proposer) && proposed.in_sync.contains(&proposed.primary);
        // A change that was asked for before its machine was found to be empty may be decided after that.
        let counts_on_retired = proposed.in_sync.iter().any(|disk| self.is_retired(*disk));
        if !follows || !is_proper || counts_on_retired {
            return Outcome::GroupChanged { accepted: false, current };
        }
        if let Some(assignment) = self.groups.get_mut(&group) {
            assignment.epoch = proposed.clone();
        }
        Outcome::GroupChanged { accepted: true, current: proposed }
    }

    /// Whether a disk is that of a machine that the operator may have taken away.
    fn is_retired(&self, disk: DiskId) -> bool {
        let node = self.stores.get(&disk).map(|member| &member.node);
        let retirement = node.and_then(|node| self.retirements.get(node));
        retirement == Some(&RetirementState::Completed)
    }

    fn store_joined(&mut self, member: Member) -> Outcome {
        self.stores.insert(member.disk, member);
        Outcome::Applied
    }

    fn retire(&mut self, node: String, least_remaining: u32) -> Outcome {
        if self.retirements.contains_key(&node) {
            return Outcome::Retiring;
        }
        if self.disks_of(&node).is_empty() {
            return Outcome::RetireRefused(RetireRefusal::UnknownNode);
        }
        let remains = |other: &&String| **other != node && !self.retirements.contains_key(*other);
        let nodes: BTreeSet<&String> = self.stores.values().map(|member| &member.node).collect();
        if nodes.into_iter().filter(remains).count() < least_remaining as usize {
            return Outcome::RetireRefused(RetireRefusal::TooFewRemain);
        }
        self.retirements.insert(node, RetirementState::Running);
        Outcome::Retiring
    }

    fn complete_retirement(&mut self, node: &str) -> Outcome {
        let disks: Vec<DiskId> = self.disks_of(node);
        let holds = |assignment: &GroupAssignment| {
            disks
                .iter()
                .any(|disk| assignment.epoch.in_sync.contains(disk) || assignment.targets.contains(disk))
        };
        if self.groups.values().any(holds) {
            return Outcome::Applied;
        }
        if let Some(state) = self.retirements.get_mut(node) {
            *state = RetirementState::Completed;
        }
        Outcome::Applied
    }

    fn set_targets(&mut self, group: u32, targets: Vec<DiskId>) -> Outcome {
        if let Some(assignment) = self.groups.get_mut(&group) {
            assignment.targets = targets;
        }
        Outcome::Applied
    }

    /// Disk of the primary that may have ordered transcribers last; 0 for none.
    pub fn order_holder(&self) -> DiskId {
        self.order_holder
    }

    /// Disks that a storage machine has or had.
    pub fn disks_of(&self, node: &str) -> Vec<DiskId> {
        let of_node = self.stores.values().filter(|member| member.node == node);
        of_node.map(|member| member.disk).collect()
    }
}

impl StateMachine for ControlState {
    fn apply(&mut self, index: u64, entry: &[u8]) {
        let outcome = match Command::deserialize_bin(entry) {
            Ok(command) => self.apply_command(command),
            Err(error) => {
                log::error!("applying entry {index} of the control state: {error}");
                self.is_damaged = true;
                Outcome::Unreadable
            }
        };
        self.outcomes.push_back((index, outcome));
        if self.outcomes.len() > MOST_OUTCOMES {
            self.outcomes.pop_front();
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let snapshot = Snapshot {
            document: self.configuration.as_ref().map(|configuration| configuration.document().to_vec()),
            history: self.history.clone(),
            named_versions: self.named_versions.clone(),
            groups: self.groups.clone(),
            stores: self.stores.iter().map(|(disk, member)| (disk.0, member.clone())).collect(),
            retirements: self.retirements.clone(),
            order_holder: self.order_holder,
        };
        let mut bytes = SerBin::serialize_bin(&snapshot);
        self.departures.ser_bin(&mut bytes);
        bytes
    }

    fn restore(&mut self, snapshot: &[u8]) {
        *self = ControlState::read(snapshot).unwrap_or_else(|error| {
            log::error!("reading a snapshot of the control state: {error}");
            ControlState { is_damaged: true, ..ControlState::default() }
        });
    }

    fn is_damaged(&self) -> bool {
        self.is_damaged
    }
}

impl ControlState {
    fn read(bytes: &[u8]) -> Result<ControlState, String> {
        let unreadable = |error: DeBinErr| error.to_string();
        let mut offset = 0;
        let snapshot = Snapshot::de_bin(&mut offset, bytes).map_err(unreadable)?;
        let departures = match bytes.len() > offset {
            true => Departures::de_bin(&mut offset, bytes).map_err(unreadable)?,
            false => Departures::default(),
        };
        let configuration = match snapshot.document {
            Some(document) => {
                Some(Arc::new(Configuration::parse(&document).map_err(|invalid| invalid.to_string())?))
            }
            None => None,
        };
        Ok(ControlState {
            configuration,
            history: snapshot.history,
            named_versions: snapshot.named_versions,
            groups: snapshot.groups,
            stores: snapshot.stores.into_iter().map(|(disk, member)| (DiskId(disk), member)).collect(),
            retirements: snapshot.retirements,
            order_holder: snapshot.order_holder,
            departures,
            ..ControlState::default()
        })
    }
}
