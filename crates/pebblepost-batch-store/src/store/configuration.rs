//! What the control plane says: who serves which group.

use super::Store;
use super::epoch_changes::{Answer, record_of};
use super::group::Group;
use pebblepost_messages::batch::STORE_GROUPS;
use pebblepost_messages::control::{GroupEpoch, ToControl};
use pebblepost_messages::feed::StoreGroup;
use pebblepost_replication::record::EpochRecord;
use std::time::Duration;

/// A replica of a group that others hold is dropped after nobody has sent it anything for so long.
const UNUSED_FOR: Duration = Duration::from_secs(10);

impl Store {
    /// A link to the control primary is up, and this machine has announced itself over it.
    pub fn control_connected(&mut self) {
        for message in self.changes.ask_again() {
            self.outbox.send_to_control(message);
        }
        self.repeat_version_slack();
    }

    /// The feed says who serves some groups.
    pub fn assign(&mut self, now: Duration, assignments: &[StoreGroup]) {
        for assignment in assignments.iter().filter(|assignment| assignment.group < STORE_GROUPS) {
            self.learn_members(assignment);
            let number = assignment.group;
            let is_old = |known: &StoreGroup| known.epoch > assignment.epoch;
            if self.assignments.get(&number).is_some_and(is_old) {
                continue;
            }
            self.assignments.insert(number, assignment.clone());
            if self.holds(assignment) && !self.groups.contains_key(&number) {
                self.open_group(now, number, Vec::new());
            } else {
                self.configure_group(now, number);
            }
            self.settle(now, number);
        }
    }

    /// The control plane has answered a change of an epoch.
    pub fn group_changed(&mut self, now: Duration, request: u64, number: u32, current: &GroupEpoch) {
        let answer = self.changes.answered(request, number, current);
        let record = match &answer {
            Answer::Accepted(record) => Some(record.clone()),
            Answer::Refused | Answer::Unasked => record_of(current, &self.members),
        };
        let Some(group) = self.groups.get_mut(&number) else { return };
        if let Some(record) = record {
            group.replica.configure(now, &record);
        }
        if answer != Answer::Unasked {
            group.replica.change_ended(now);
        }
        self.settle(now, number);
    }

    /// Asks the control plane for another epoch.
    pub(super) fn ask_for_epoch(&mut self, now: Duration, number: u32, expected: u64, record: EpochRecord) {
        log::info!("group {number}: asking for epoch {} with primary {:x}", record.epoch, record.primary.0);
        let message: ToControl = self.changes.ask(now, number, expected, record);
        self.outbox.send_to_control(message);
    }

    pub(super) fn give_up_overdue_changes(&mut self, now: Duration) {
        for number in self.changes.take_overdue(now) {
            if let Some(group) = self.groups.get_mut(&number) {
                group.replica.change_ended(now);
            }
            self.settle(now, number);
        }
    }

    /// Hands the newest assignment of a group to its replica.
    pub(super) fn configure_group(&mut self, now: Duration, number: u32) {
        let Some(assignment) = self.assignments.get(&number) else { return };
        let record = epoch_record(assignment);
        let targets = self.targets(assignment);
        let Some(group) = self.groups.get_mut(&number) else { return };
        group.replica.configure(now, &record);
        group.replica.set_targets(now, targets);
    }

    /// Drops replicas whose group is held by others.
    ///
    /// What a replica has confirmed may still be counted on: a change that adds it may be under way to the control
    /// plane, however long. Such a change builds on an epoch in which the replica confirmed something, so it is kept
    /// until the control plane has gone beyond that epoch, or the primary of that epoch says that it asked for no such
    /// change; and until nobody has sent it anything for a while.
    pub(super) fn drop_groups_of_others(&mut self, now: Duration) {
        let is_unused = |group: &Group| now.saturating_sub(group.used_at) >= UNUSED_FOR;
        let unused = self.groups.iter().filter(|(_, group)| is_unused(group));
        let numbers: Vec<u32> = unused.map(|(number, _)| *number).collect();
        for number in numbers {
            self.drop_group_of_others(now, number);
        }
    }

    fn drop_group_of_others(&mut self, now: Duration, number: u32) {
        let Some(assignment) = self.assignments.get(&number) else { return };
        let is_held = self.holds(assignment);
        let Some(group) = self.groups.get_mut(&number) else { return };
        if is_held || group.replica.record().epoch > assignment.epoch {
            return;
        }
        if group.replica.confirmed_epoch() >= assignment.epoch {
            group.replica.ask_to_leave(now);
            return self.settle(now, number);
        }
        log::info!("group {number}: held by others in epoch {}", assignment.epoch);
        self.stop_group(number);
        self.groups.remove(&number);
        self.changes.forget(number);
        self.outbox.drop_group(number);
    }

    /// Whether the control plane says that this machine holds a group, or should.
    pub(super) fn is_assigned(&self, number: u32) -> bool {
        self.assignments.get(&number).is_some_and(|assignment| self.holds(assignment))
    }

    /// Whether this machine holds a group, or should.
    fn holds(&self, assignment: &StoreGroup) -> bool {
        let mut members = assignment.in_sync.iter().chain(&assignment.targets);
        members.any(|member| member.disk == self.settings.me.disk)
    }

    fn learn_members(&mut self, assignment: &StoreGroup) {
        let members = assignment.in_sync.iter().chain(&assignment.targets).chain([&assignment.primary]);
        for member in members.filter(|member| !member.address.is_empty()) {
            self.members.insert(member.disk, member.clone());
        }
    }
}

fn epoch_record(assignment: &StoreGroup) -> EpochRecord {
    EpochRecord {
        epoch: assignment.epoch,
        primary: assignment.primary.disk,
        in_sync: assignment.in_sync.clone(),
        ..EpochRecord::default()
    }
}
