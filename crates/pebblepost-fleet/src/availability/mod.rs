//! The disruption budget's rules: which permits may be granted now, and why others wait. Pure decisions over
//! the entries.
//!
//! No single program grants permits: whoever wants something out of service requests it, and the state itself
//! grants whatever fits, in the order of the queue, with each command that it applies. So no driver, however
//! late, paused or duplicated, can exceed a budget. What is unavailable without a permit (lost, not ready,
//! drained by hand) uses the budget up as well.

mod counts;
mod reasons;
mod rules;

pub use reasons::{ImpossibleReason, WaitReason};

use crate::name::{Key, Name, SubjectKind};
use crate::value::{Budget, Entry, Permit, Release, Role, Snapshot, Value, WorkerStatus};
use std::collections::BTreeMap;

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
    pub fn unavailable_count(&self) -> usize {
        self.subjects.values().filter(|status| status.unavailable).count()
    }

    /// How many have the release's version, or a granted permit to change to it.
    pub fn reached_count(&self) -> usize {
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
}
