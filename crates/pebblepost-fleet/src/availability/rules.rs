//! The rules by which permits are granted, the order of the queue, and the reasons why others wait.

use super::counts::{Counts, GroupCounts};
use super::{Availability, ImpossibleReason, SubjectStatus, WaitReason};
use crate::name::Name;
use std::collections::BTreeSet;

impl<'a> Availability<'a> {
    /// Checks whether a subject could be granted a permit now. A subject that is already unavailable counts
    /// against the budget once, not twice: it may only be partitioned and be taken out of service later.
    ///
    /// # Errors
    ///
    /// Returns the first rule that makes the subject wait.
    pub fn check_grant(&self, name: &Name) -> Result<(), WaitReason> {
        self.check_grant_with(&self.counts(), name)
    }

    /// Returns why a subject could never be granted a permit, even if all others were available, or `None` if
    /// it could.
    pub fn impossible_reason(&self, name: &Name) -> Option<ImpossibleReason> {
        let budget = self.budget?;
        let (counts, status) = (self.counts(), self.subjects.get(name));
        // An unknown subject would be added to the totals.
        let added = usize::from(status.is_none());
        let total = counts.fleet.total + added;
        if budget.max_unavailable.resolve(total) == 0 {
            return Some(ImpossibleReason::Fleet { limit: budget.max_unavailable, total });
        }
        let zone = status.map_or("", |status| status.zone);
        let total = counts.zone(status).total + added;
        if budget.zone_limit(total) == 0 {
            return Some(ImpossibleReason::Zone { zone: zone.to_owned(), total });
        }
        let machine_type = status.map_or("", |status| status.machine_type);
        let total = counts.machine_type(status).total + added;
        (budget.machine_type_limit(total) == 0)
            .then(|| ImpossibleReason::MachineType { machine_type: machine_type.to_owned(), total })
    }

    /// Returns the subjects whose permits wait: urgent ones first, then by the release's order of zones, then
    /// by the revision of the request.
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

    /// Returns the subjects of the queue whose permits can be granted now, together. A subject that does not
    /// fit, for instance because its zone has no capacity, is skipped. It keeps its place in the queue and is
    /// considered first again after the next change.
    pub fn select_grants(&self) -> Vec<Name> {
        let mut counts = self.counts();
        let (mut grants, mut granted) = (Vec::new(), BTreeSet::new());
        for name in self.queue() {
            if self.check_grant_with(&counts, name).is_err() {
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
        counts.reached = self.reached_count();
        counts.first_waiting_zone = self.first_waiting_zone(&BTreeSet::new());
        counts
    }

    /// Returns the first position in the release's order of zones at which a subject outside `granted` waits
    /// for a permit of the release, or `usize::MAX` if none does.
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

    fn check_grant_with(&self, counts: &Counts<'a>, name: &Name) -> Result<(), WaitReason> {
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
        // A subject that is unavailable already is part of the counts and must not be counted twice.
        let counted_already = usize::from(status.is_some_and(|status| status.unavailable));
        let others = counts.fleet.unavailable - counted_already;
        if others + 1 > budget.max_unavailable.resolve(counts.fleet.total) {
            return Err(WaitReason::FleetLimit(others));
        }
        let zone = counts.zone(status);
        let others = zone.unavailable - counted_already;
        if others + 1 > budget.zone_limit(zone.total) {
            return Err(WaitReason::ZoneLimit(others));
        }
        let machine_type = counts.machine_type(status);
        let others = machine_type.unavailable - counted_already;
        if others + 1 > budget.machine_type_limit(machine_type.total) {
            return Err(WaitReason::MachineTypeLimit(others));
        }
        Ok(())
    }

    /// Checks the wave's limit and the order of zones, which apply to permits of the release.
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
