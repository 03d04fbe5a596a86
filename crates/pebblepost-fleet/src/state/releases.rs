//! The release in the state: its start, its waves, its rollback and its end.

use super::{KeyChanges, MAX_WAVES, State, invalid};
use crate::command::{Command, Operation, Rejection};
use crate::name::{Key, Subject, SubjectKind, Text};
use crate::value::{Limit, Member, Permit, Release, Role, Value};

const RELEASE_KEY: Key = Key::Release(SubjectKind::Dispatcher);

impl State {
    /// Returns the release in progress.
    pub fn release(&self) -> Option<&Release> {
        match &self.entries.get(&RELEASE_KEY)?.value {
            Value::Release(release) => Some(release),
            _ => None,
        }
    }

    /// Returns the changes that an operation makes to the release and to its permits.
    pub(super) fn change_release(
        &self, command: &Command, operation: &Operation, reason: &Text,
    ) -> Result<KeyChanges, Rejection> {
        match (operation, self.release()) {
            (Operation::BeginRelease { version, .. }, Some(current)) if current.version == *version => {
                Ok(KeyChanges::new())
            }
            (Operation::BeginRelease { .. }, Some(current)) => {
                invalid(format!("the release of {} goes on: end it, or go back, first", current.version))
            }
            (Operation::BeginRelease { version, waves, zone_order }, None) => {
                self.check_release(version, waves, zone_order)?;
                let release = Release {
                    version: version.clone(),
                    rolled_back_version: None,
                    waves: waves.clone(),
                    current_wave: 0,
                    zone_order: zone_order.clone(),
                    begun_by: command.issued_by.clone(),
                    begun_at_ms: command.issued_at_ms,
                };
                Ok(self.start_release(command, release, reason, |current| current != version))
            }
            (Operation::RollBack(version), Some(current)) => {
                self.roll_back(command, version, current, reason)
            }
            (Operation::AdvanceWave(wave), Some(current)) => self.advance_wave(*wave, current),
            (Operation::EndRelease, Some(current)) => self.end_release(current),
            (Operation::EndRelease, None) => Ok(KeyChanges::new()),
            _ => invalid("no release goes on"),
        }
    }

    fn check_release(&self, version: &Text, waves: &[Limit], zone_order: &[Text]) -> Result<(), Rejection> {
        let waves_are_valid =
            !waves.is_empty() && waves.len() <= MAX_WAVES && waves.iter().all(|wave| wave.is_valid());
        if version.as_str().is_empty() || !waves_are_valid || zone_order.len() > MAX_WAVES {
            return invalid(format!(
                "a release wants a version, 1 to {MAX_WAVES} waves, and at most {MAX_WAVES} zones in order"
            ));
        }
        let availability = self.availability(SubjectKind::Dispatcher);
        let total = availability.subjects.len();
        if total == 0 {
            return invalid("no dispatcher has ever joined");
        }
        if waves.last().map(|wave| wave.resolve(total)) < Some(total) {
            return invalid("the last wave must reach all, or the release would never end");
        }
        let is_empty =
            |zone: &&Text| availability.subjects.values().all(|status| status.zone != zone.as_str());
        if let Some(zone) = zone_order.iter().find(is_empty) {
            return invalid(format!("no dispatcher is in zone {zone}"));
        }
        let impossible = availability.subjects.keys().find_map(|name| availability.impossible_reason(name));
        if let Some(impossible) = impossible {
            return invalid(format!("it would never end: {impossible}"));
        }
        Ok(())
    }

    fn roll_back(
        &self, command: &Command, version: &Text, current: &Release, reason: &Text,
    ) -> Result<KeyChanges, Rejection> {
        if current.is_rollback() && current.version == *version {
            return Ok(KeyChanges::new());
        }
        if version.as_str().is_empty() || *version == current.version {
            return invalid("a way back wants a version other than the release's");
        }
        let release = Release {
            version: version.clone(),
            rolled_back_version: Some(current.version.clone()),
            waves: vec![Limit::Fraction(1.0)],
            current_wave: 0,
            zone_order: Vec::new(),
            begun_by: command.issued_by.clone(),
            begun_at_ms: command.issued_at_ms,
        };
        Ok(self.start_release(command, release, reason, |version| *version == current.version))
    }

    fn advance_wave(&self, wave: u32, current: &Release) -> Result<KeyChanges, Rejection> {
        if current.current_wave != wave {
            return Ok(KeyChanges::new());
        }
        if current.is_last_wave() {
            return invalid("this is the last wave");
        }
        if !self.availability(SubjectKind::Dispatcher).wave_is_complete() {
            return invalid("not all of the wave have the version and are ready");
        }
        let release = Release { current_wave: current.current_wave + 1, ..current.clone() };
        Ok(vec![(RELEASE_KEY, Some(Value::Release(release)))])
    }

    fn end_release(&self, current: &Release) -> Result<KeyChanges, Rejection> {
        match self.permits().filter(|(_, permit)| permit.version == current.version).count() {
            0 => Ok(vec![(RELEASE_KEY, None)]),
            left => invalid(format!("{left} dispatchers have not come back as {}", current.version)),
        }
    }

    /// Returns the changes that start a release. Dispatchers that `changes_from` selects by their present
    /// version get a permit request with the release's version. Granted permits stay granted and get that
    /// version; waiting permits of other dispatchers are withdrawn.
    fn start_release(
        &self, command: &Command, release: Release, reason: &Text, changes_from: impl Fn(&Text) -> bool,
    ) -> KeyChanges {
        let mut changes = KeyChanges::new();
        for (name, member) in self.members().filter(|(_, member)| member.info.role == Role::Dispatcher) {
            let subject = Subject { kind: SubjectKind::Dispatcher, name: name.clone() };
            let permit = match self.permit(&subject) {
                // The dispatcher may already have exited to change to another version; it has to return with
                // this one.
                Some(permit) if permit.is_granted() => {
                    Some(Permit { version: release.version.clone(), ..permit.clone() })
                }
                _ if changes_from(&member.info.version) => {
                    Some(self.release_permit(command, &release, member, reason))
                }
                _ => None,
            };
            changes.push((Key::Permit(subject), permit.map(Value::Permit)));
        }
        changes.push((RELEASE_KEY, Some(Value::Release(release))));
        changes
    }

    /// Returns a permit request of the release. In a rollback, unavailable dispatchers go first.
    fn release_permit(&self, command: &Command, release: &Release, member: &Member, reason: &Text) -> Permit {
        Permit {
            urgent: release.is_rollback() && member.is_unavailable(),
            ..self.new_permit(command, &release.version, reason)
        }
    }
}
