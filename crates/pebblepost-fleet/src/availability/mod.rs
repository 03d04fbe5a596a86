//! The rules of disruption budgets: which permits can be granted now, and why others wait. They are pure
//! functions of the entries.
//!
//! No single process grants permits. An operator or member requests one, and the state itself grants those
//! that the rules allow, in the order of the queue, with each command that it applies. So a driver that is
//! late, paused or duplicated cannot exceed a budget. Subjects that are unavailable without a permit (lost,
//! not ready or drained by hand) count against the budget as well.

mod counts;
mod reasons;
mod rules;

pub use reasons::{ImpossibleReason, WaitReason};

use crate::name::{Key, Name, SubjectKind};
use crate::value::{Budget, Entry, Permit, Release, Role, Snapshot, Value, WorkerStatus};
use std::collections::BTreeMap;

/// The status of one dispatcher or worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct SubjectStatus<'a> {
    /// Zone of the subject; empty if it has none.
    pub zone: &'a str,
    /// Machine type of a worker; empty if it is unknown, and for dispatchers.
    pub machine_type: &'a str,
    /// Whether the subject is unavailable, by a granted permit or for another reason.
    pub unavailable: bool,
    /// Version of a dispatcher; empty for workers.
    pub version: &'a str,
    /// Permit of the subject, requested or granted.
    pub permit: Option<&'a Permit>,
}

impl SubjectStatus<'_> {
    /// Returns whether the subject has the version, or has a granted permit to change to it.
    fn has_reached(&self, version: &str) -> bool {
        let changes_to =
            self.permit.is_some_and(|permit| permit.is_granted() && permit.version.as_str() == version);
        self.version == version || changes_to
    }
}

/// All subjects of one kind, and the rules that apply to them.
#[derive(Clone, Debug, Default)]
pub struct Availability<'a> {
    /// Status of each subject, by name.
    pub subjects: BTreeMap<&'a Name, SubjectStatus<'a>>,
    /// Disruption budget; without one no permit is granted.
    pub budget: Option<Budget>,
    /// Whether no permit is granted until an operator ends the halt.
    pub halted: bool,
    /// Release in progress.
    pub release: Option<&'a Release>,
}

impl Snapshot {
    /// Returns all subjects of a kind, and the rules that apply to them.
    pub fn availability(&self, kind: SubjectKind) -> Availability<'_> {
        Availability::new(&self.entries, kind)
    }
}

impl<'a> Availability<'a> {
    /// Collects the entries that concern one kind.
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

    /// Returns how many subjects are unavailable.
    pub fn unavailable_count(&self) -> usize {
        self.subjects.values().filter(|status| status.unavailable).count()
    }

    /// Returns how many subjects have the release's version, or a granted permit to change to it. 0 without a
    /// release.
    pub fn reached_count(&self) -> usize {
        let count = |release: &Release| {
            self.subjects.values().filter(|status| status.has_reached(release.version.as_str())).count()
        };
        self.release.map_or(0, count)
    }

    /// Returns whether as many subjects as the present wave allows have the release's version and are
    /// available.
    pub fn wave_is_complete(&self) -> bool {
        self.release.is_some_and(|release| {
            let is_complete = |status: &&SubjectStatus<'_>| {
                status.version == release.version.as_str() && !status.unavailable
            };
            self.subjects.values().filter(is_complete).count() >= release.wave_limit(self.subjects.len())
        })
    }
}
