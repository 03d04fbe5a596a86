//! The counts that budgets and waves limit.

use super::SubjectStatus;
use std::collections::BTreeMap;

/// The size of a group, and how many of its subjects are unavailable.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GroupCounts {
    pub(super) total: usize,
    pub(super) unavailable: usize,
}

/// The counts of one kind of subjects.
#[derive(Debug, Default)]
pub(super) struct Counts<'a> {
    pub(super) fleet: GroupCounts,
    /// Number of subjects that have the release's version, or a granted permit to change to it.
    pub(super) reached: usize,
    pub(super) zones: BTreeMap<&'a str, GroupCounts>,
    pub(super) machine_types: BTreeMap<&'a str, GroupCounts>,
    /// First position in the release's order of zones at which a subject waits for its permit; `usize::MAX`
    /// if none waits.
    pub(super) first_waiting_zone: usize,
}

impl<'a> Counts<'a> {
    pub(super) fn zone(&self, status: Option<&SubjectStatus<'a>>) -> GroupCounts {
        self.zones.get(status.map_or("", |status| status.zone)).copied().unwrap_or_default()
    }

    pub(super) fn machine_type(&self, status: Option<&SubjectStatus<'a>>) -> GroupCounts {
        let machine_type = status.map_or("", |status| status.machine_type);
        self.machine_types.get(machine_type).copied().unwrap_or_default()
    }

    pub(super) fn add_unavailable(&mut self, status: &SubjectStatus<'a>) {
        self.fleet.unavailable += 1;
        self.zones.entry(status.zone).or_default().unavailable += 1;
        self.machine_types.entry(status.machine_type).or_default().unavailable += 1;
    }
}
