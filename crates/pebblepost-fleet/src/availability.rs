//! The disruption budget's rules: which permits may be granted now, and why others wait. Pure decisions over the entries.
//!
//! No single program grants permits: whoever wants something out of service requests it, and the state itself grants
//! whatever fits, in the order of the queue, with each command that it applies. So no driver, however late, paused or
//! duplicated, can exceed a budget. What is unavailable without a permit (lost, not ready, drained by hand) uses the budget
//! up as well.

use crate::name::{Key, Name, SubjectKind};
use crate::value::{Budget, Entry, Limit, Permit, Release, Role, Snapshot, Value, WorkerStatus};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use thiserror::Error;

/// How one dispatcher or worker stands.
#[derive(Clone, Copy, Debug, Default)]
pub struct SubjectStatus<'a> {
    /// Its zone, or empty.
    pub zone: &'a str,
    /// Its type of machine, or empty.
    pub machine_type: &'a str,
    /// Whether it is unavailable: by a permit, or without one.
    pub unavailable: bool,
    /// Its version, or empty.
    pub version: &'a str,
    /// Its permit.
    pub permit: Option<&'a Permit>,
}

impl SubjectStatus<'_> {
    /// Whether it has a version, or has a granted permit to change to it.
    fn has_reached(&self, version: &str) -> bool {
        let changes_to =
            self.permit.is_some_and(|permit| permit.is_granted() && permit.version.as_str() == version);
        self.version == version || changes_to
    }
}

/// All dispatchers or all workers, and the rules that apply to them.
#[derive(Clone, Debug, Default)]
pub struct Availability<'a> {
    /// The subjects, by name.
    pub subjects: BTreeMap<&'a Name, SubjectStatus<'a>>,
    /// The budget; without one nothing is granted.
    pub budget: Option<Budget>,
    /// Whether nothing is granted until an operator resumes.
    pub halted: bool,
    /// The release in progress.
    pub release: Option<&'a Release>,
}

/// Why a permit waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// There is no budget.
    NoBudget,
    /// An operator, or a release's driver, has halted.
    Halted,
    /// The fleet's limit is reached with that many others unavailable.
    FleetLimit(usize),
    /// The zone's limit is reached with that many others unavailable.
    ZoneLimit(usize),
    /// The limit of its type of machine is reached with that many others unavailable.
    MachineTypeLimit(usize),
    /// The wave's limit is reached: that many have the release's version.
    WaveLimit(usize),
    /// Dispatchers of a zone that goes earlier still wait.
    ZoneOrder,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoBudget => f.write_str("there is no budget for its kind"),
            Self::Halted => f.write_str("halted"),
            Self::FleetLimit(others) => write!(f, "{others} others are out, no more may be"),
            Self::MachineTypeLimit(others) => {
                write!(f, "{others} others of its kind are out, no more may be")
            }
            Self::ZoneOrder => f.write_str("a zone before its own is not done"),
            Self::WaveLimit(reached) => {
                write!(f, "{reached} have its version, no more may in this wave")
            }
            Self::ZoneLimit(others) => write!(f, "{others} others are out in its zone, no more may be"),
        }
    }
}

/// Why a permit could never be granted under the present budget.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ImpossibleReason {
    /// The fleet's limit is none of its total.
    #[error("the budget of {limit} lets none of {total} out")]
    Fleet {
        /// The limit.
        limit: Limit,
        /// How many there are.
        total: usize,
    },
    /// The zone's limit is none of its total.
    #[error("the budget lets none of the {total} in zone {zone:?} out")]
    Zone {
        /// The zone.
        zone: String,
        /// How many there are.
        total: usize,
    },
    /// The limit of the type of machine is none of its total.
    #[error("the budget lets none of the {total} of kind {machine_type:?} out")]
    MachineType {
        /// The type of machine.
        machine_type: String,
        /// How many there are.
        total: usize,
    },
}

/// How many there are, and how many of them are unavailable.
#[derive(Clone, Copy, Debug, Default)]
struct GroupCounts {
    total: usize,
    unavailable: usize,
}

/// The counts that budgets and waves limit.
#[derive(Debug, Default)]
struct Counts<'a> {
    fleet: GroupCounts,
    /// Those that have the release's version, or a granted permit to change to it.
    reached: usize,
    zones: BTreeMap<&'a str, GroupCounts>,
    machine_types: BTreeMap<&'a str, GroupCounts>,
    /// The first position in the release's order of zones at which a subject waits.
    first_waiting_zone: usize,
}

impl<'a> Counts<'a> {
    fn zone(&self, status: Option<&SubjectStatus<'a>>) -> GroupCounts {
        self.zones.get(status.map_or("", |status| status.zone)).copied().unwrap_or_default()
    }

    fn machine_type(&self, status: Option<&SubjectStatus<'a>>) -> GroupCounts {
        let machine_type = status.map_or("", |status| status.machine_type);
        self.machine_types.get(machine_type).copied().unwrap_or_default()
    }

    fn add_unavailable(&mut self, status: &SubjectStatus<'a>) {
        self.fleet.unavailable += 1;
        self.zones.entry(status.zone).or_default().unavailable += 1;
        self.machine_types.entry(status.machine_type).or_default().unavailable += 1;
    }
}

impl Snapshot {
    /// All subjects of a kind, and the rules that apply to them.
    pub fn availability(&self, kind: SubjectKind) -> Availability<'_> {
        Availability::new(&self.entries, kind)
    }
}

impl<'a> Availability<'a> {
    /// The view of those entries that concerns one kind.
    pub(crate) fn new(entries: &'a BTreeMap<Key, Entry>, kind: SubjectKind) -> Self {
        let mut availability = Self {
            halted: entries.contains_key(&Key::Halt(kind)),
            budget: match entries.get(&Key::Budget(kind)).map(|entry| &entry.value) {
                Some(Value::Budget(budget)) => Some(*budget),
                _ => None,
            },
            release: match entries.get(&Key::Release(kind)).map(|entry| &entry.value) {
                Some(Value::Release(release)) => Some(release),
                _ => None,
            },
            ..Self::default()
        };
        for (key, entry) in entries {
            availability.add_entry(kind, key, &entry.value);
        }
        availability
    }

    fn add_entry(&mut self, kind: SubjectKind, key: &'a Key, value: &'a Value) {
        match (kind, key, value) {
            (SubjectKind::Dispatcher, Key::Member(name), Value::Member(member))
                if member.info.role == Role::Dispatcher =>
            {
                let status = SubjectStatus {
                    zone: member.info.zone.as_str(),
                    unavailable: member.is_unavailable(),
                    version: member.info.version.as_str(),
                    ..SubjectStatus::default()
                };
                self.subjects.insert(name, status);
            }
            (SubjectKind::Worker, Key::Drain(name), _) => {
                let status = SubjectStatus { unavailable: true, ..SubjectStatus::default() };
                self.subjects.insert(name, status);
            }
            (SubjectKind::Worker, Key::Worker(name), Value::Worker(worker)) => {
                let status = self.subjects.entry(name).or_default();
                status.zone = worker.zone.as_str();
                status.machine_type = worker.machine_type.as_str();
                status.unavailable |= worker.status.is_some_and(|status| status != WorkerStatus::Ready);
            }
            (_, Key::Permit(subject), Value::Permit(permit)) if subject.kind == kind => {
                let status = self.subjects.entry(&subject.name).or_default();
                status.unavailable |= permit.is_granted();
                status.permit = Some(permit);
            }
            _ => {}
        }
    }

    /// How many are unavailable.
    pub fn unavailable(&self) -> usize {
        self.subjects.values().filter(|status| status.unavailable).count()
    }

    /// How many have the release's version, or a granted permit to change to it.
    pub fn reached(&self) -> usize {
        let count = |release: &Release| {
            self.subjects.values().filter(|status| status.has_reached(release.version.as_str())).count()
        };
        self.release.map_or(0, count)
    }

    /// Whether all of the present wave have the release's version and are available.
    pub fn wave_is_complete(&self) -> bool {
        self.release.is_some_and(|release| {
            let is_complete = |status: &&SubjectStatus<'_>| {
                status.version == release.version.as_str() && !status.unavailable
            };
            self.subjects.values().filter(is_complete).count() >= release.wave_limit(self.subjects.len())
        })
    }

    /// Whether one of them could be granted a permit now. One that is unavailable already counts against the budget once, not
    /// twice: it may be merely partitioned, and go later.
    ///
    /// # Errors
    ///
    /// The first rule that makes it wait.
    pub fn check(&self, name: &Name) -> Result<(), WaitReason> {
        self.check_with(&self.counts(), name)
    }

    /// Why one of them could never be granted a permit, even if all others were available; `None`: it could.
    pub fn impossible_reason(&self, name: &Name) -> Option<ImpossibleReason> {
        let budget = self.budget?;
        let (counts, status) = (self.counts(), self.subjects.get(name));
        // An unknown one would be one more.
        let itself = usize::from(status.is_none());
        let total = counts.fleet.total + itself;
        if budget.max_unavailable.resolve(total) == 0 {
            return Some(ImpossibleReason::Fleet { limit: budget.max_unavailable, total });
        }
        let zone = status.map_or("", |status| status.zone);
        let total = counts.zone(status).total + itself;
        if budget.zone_limit(total) == 0 {
            return Some(ImpossibleReason::Zone { zone: zone.to_owned(), total });
        }
        let machine_type = status.map_or("", |status| status.machine_type);
        let total = counts.machine_type(status).total + itself;
        (budget.machine_type_limit(total) == 0)
            .then(|| ImpossibleReason::MachineType { machine_type: machine_type.to_owned(), total })
    }

    /// The subjects whose permits wait: urgent ones first, then by the release's order of zones, then by the revision of the request.
    pub fn queue(&self) -> Vec<&'a Name> {
        let position = |zone| self.release.map_or(0, |release| release.zone_position(zone));
        let mut queue: Vec<(bool, usize, u64, &Name)> = self
            .subjects
            .iter()
            .filter_map(|(name, status)| Some((*name, status.zone, status.permit?)))
            .filter(|(_, _, permit)| !permit.is_granted())
            .map(|(name, zone, permit)| (!permit.urgent, position(zone), permit.requested_at_revision, name))
            .collect();
        queue.sort();
        queue.into_iter().map(|(_, _, _, name)| name).collect()
    }

    /// The subjects of the queue whose permits are granted now. One whose zone has no capacity lets others pass; it is first
    /// again as soon as anything changes.
    pub fn grants(&self) -> Vec<Name> {
        let mut counts = self.counts();
        let (mut grants, mut granted) = (Vec::new(), BTreeSet::new());
        for name in self.queue() {
            if self.check_with(&counts, name).is_err() {
                continue;
            }
            if let Some(status) = self.subjects.get(name) {
                self.add_granted(&mut counts, status);
            }
            grants.push(name.clone());
            granted.insert(name);
            counts.first_waiting_zone = self.first_waiting_zone(&granted);
        }
        grants
    }

    fn add_granted(&self, counts: &mut Counts<'a>, status: &SubjectStatus<'a>) {
        if !status.unavailable {
            counts.add_unavailable(status);
        }
        let version = self.release.map_or("", |release| release.version.as_str());
        let changes_to = status.permit.is_some_and(|permit| permit.version.as_str() == version);
        counts.reached += usize::from(changes_to && !status.has_reached(version));
    }

    fn counts(&self) -> Counts<'a> {
        let fleet = GroupCounts { total: self.subjects.len(), unavailable: 0 };
        let mut counts = Counts { fleet, ..Counts::default() };
        for status in self.subjects.values() {
            counts.zones.entry(status.zone).or_default().total += 1;
            counts.machine_types.entry(status.machine_type).or_default().total += 1;
            if status.unavailable {
                counts.add_unavailable(status);
            }
        }
        counts.reached = self.reached();
        counts.first_waiting_zone = self.first_waiting_zone(&BTreeSet::new());
        counts
    }

    /// The first position in the release's order of zones at which a subject waits that is not among those granted already.
    fn first_waiting_zone(&self, granted: &BTreeSet<&Name>) -> usize {
        let Some(release) = self.release else { return usize::MAX };
        let waits = |(name, status): &(&&Name, &SubjectStatus<'_>)| {
            !granted.contains(**name)
                && status
                    .permit
                    .is_some_and(|permit| !permit.is_granted() && permit.version == release.version)
        };
        let positions =
            self.subjects.iter().filter(waits).map(|(_, status)| release.zone_position(status.zone));
        positions.min().unwrap_or(usize::MAX)
    }

    fn check_with(&self, counts: &Counts<'a>, name: &Name) -> Result<(), WaitReason> {
        let budget = self.budget.ok_or(WaitReason::NoBudget)?;
        if self.halted {
            return Err(WaitReason::Halted);
        }
        let status = self.subjects.get(name);
        #[cfg(feature = "faults")]
        if std::env::var_os("PEBBLEPOST_FAULT_BUDGET").is_some() {
            return Ok(());
        }
        self.check_release(counts, status)?;
        let itself = usize::from(status.is_some_and(|status| status.unavailable));
        let others = counts.fleet.unavailable - itself;
        if others + 1 > budget.max_unavailable.resolve(counts.fleet.total) {
            return Err(WaitReason::FleetLimit(others));
        }
        let zone = counts.zone(status);
        let others = zone.unavailable - itself;
        if others + 1 > budget.zone_limit(zone.total) {
            return Err(WaitReason::ZoneLimit(others));
        }
        let machine_type = counts.machine_type(status);
        let others = machine_type.unavailable - itself;
        if others + 1 > budget.machine_type_limit(machine_type.total) {
            return Err(WaitReason::MachineTypeLimit(others));
        }
        Ok(())
    }

    /// The wave's limit and the order of zones, for permits of the release.
    fn check_release(
        &self, counts: &Counts<'a>, status: Option<&SubjectStatus<'a>>,
    ) -> Result<(), WaitReason> {
        let Some(release) = self.release else { return Ok(()) };
        let of_release = |status: &&SubjectStatus<'_>| {
            status.permit.is_some_and(|permit| permit.version == release.version)
        };
        let Some(status) = status.filter(of_release) else { return Ok(()) };
        let has_reached = status.has_reached(release.version.as_str());
        if !has_reached && counts.reached + 1 > release.wave_limit(counts.fleet.total) {
            return Err(WaitReason::WaveLimit(counts.reached));
        }
        if release.zone_position(status.zone) > counts.first_waiting_zone {
            return Err(WaitReason::ZoneOrder);
        }
        Ok(())
    }
}
