//! Effects of assignments of groups and of answers to changes of epochs on the replicas of this machine.

use crate::store::Store;
use crate::store::state::epoch_changes::{EpochChangeOutcome, epoch_record_of};
use crate::store::state::group::Group;
use pebblepost_messages::batch::STORE_GROUPS;
use pebblepost_messages::control::GroupEpoch;
use pebblepost_messages::feed::StoreGroup;
use pebblepost_replication::record::EpochRecord;
use std::time::Duration;

/// A replica of a group that is assigned to others is dropped if it got no message for this time.
const UNUSED_REPLICA_TIMEOUT: Duration = Duration::from_secs(10);

impl Store {
    /// A link to the control primary is up, and this machine has announced itself over it.
    pub fn handle_control_connected(&mut self) {
        for message in self.epoch_changes.repeated_messages() {
            self.outbox.send_to_control(message);
        }
        self.report_version_lags();
    }

    /// The feed of the control plane assigns groups to machines.
    pub fn apply_assignments(&mut self, now: Duration, assignments: &[StoreGroup]) {
        for assignment in assignments.iter().filter(|assignment| assignment.group < STORE_GROUPS) {
            if !self.membership.assign(assignment) {
                continue;
            }
            let group_id = assignment.group;
            if self.membership.includes_local(assignment) && !self.groups.contains_key(&group_id) {
                self.open_group(now, group_id, Vec::new());
            } else {
                self.configure_group(now, group_id);
            }
            self.process_replica_outputs(now, group_id);
        }
    }

    /// The control plane has answered a change of an epoch.
    pub fn handle_epoch_change_answer(
        &mut self, now: Duration, request: u64, group_id: u32, current: &GroupEpoch,
    ) {
        let outcome = self.epoch_changes.answered(request, group_id, current);
        let record = match &outcome {
            EpochChangeOutcome::Accepted(record) => Some(record.clone()),
            EpochChangeOutcome::Rejected | EpochChangeOutcome::NotRequested => {
                epoch_record_of(current, self.membership.members())
            }
        };
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        if let Some(record) = record {
            group.replica.configure(now, &record);
        }
        if outcome != EpochChangeOutcome::NotRequested {
            group.replica.epoch_change_ended(now);
        }
        self.process_replica_outputs(now, group_id);
    }

    /// Requests a change of a group's epoch from the control plane.
    pub(crate) fn request_epoch_change(
        &mut self, now: Duration, group_id: u32, expected: u64, record: EpochRecord,
    ) {
        log::info!(
            "epoch change requested group={group_id} epoch={} primary={:x}",
            record.epoch,
            record.primary.0
        );
        let message = self.epoch_changes.request(now, group_id, expected, record);
        self.outbox.send_to_control(message);
    }

    /// Lets replicas request changes of their epoch again whose answer timed out.
    pub(crate) fn time_out_epoch_changes(&mut self, now: Duration) {
        for group_id in self.epoch_changes.take_timed_out(now) {
            if let Some(group) = self.groups.get_mut(&group_id) {
                group.replica.epoch_change_ended(now);
            }
            self.process_replica_outputs(now, group_id);
        }
    }

    /// Hands the newest assignment of a group on to its replica.
    pub(crate) fn configure_group(&mut self, now: Duration, group_id: u32) {
        let Some(assignment) = self.membership.assignment(group_id) else { return };
        let record = epoch_record(assignment);
        let targets = self.membership.targets(assignment);
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        group.replica.configure(now, &record);
        group.replica.set_targets(now, targets);
    }

    /// Hands the targets of all groups on to their replicas again: a machine drains, or does no longer.
    pub(crate) fn reconfigure_groups(&mut self, now: Duration) {
        for group_id in self.group_ids() {
            self.configure_group(now, group_id);
            self.process_replica_outputs(now, group_id);
        }
    }

    /// Drops replicas whose group is assigned to other machines.
    ///
    /// What a replica has confirmed may still count towards a quorum: a change that adds the replica may be
    /// in flight to the control plane, however long. Such a change builds on an epoch in which the replica
    /// confirmed something. The replica is therefore kept until the control plane has gone beyond that epoch,
    /// or the primary of that epoch answers that it requested no such change; and until no machine has sent
    /// it anything for [`UNUSED_REPLICA_TIMEOUT`].
    pub(crate) fn drop_unassigned_replicas(&mut self, now: Duration) {
        let is_unused = |group: &Group| now.saturating_sub(group.last_message_at) >= UNUSED_REPLICA_TIMEOUT;
        let unused = self.groups.iter().filter(|(_, group)| is_unused(group));
        let group_ids: Vec<u32> = unused.map(|(group_id, _)| *group_id).collect();
        for group_id in group_ids {
            self.drop_unassigned_replica(now, group_id);
        }
    }

    fn drop_unassigned_replica(&mut self, now: Duration, group_id: u32) {
        let Some(assignment) = self.membership.assignment(group_id) else { return };
        let is_assigned = self.membership.includes_local(assignment);
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        if is_assigned || group.replica.record().epoch > assignment.epoch {
            return;
        }
        if group.replica.confirmed_epoch() >= assignment.epoch {
            group.replica.request_removal(now);
            return self.process_replica_outputs(now, group_id);
        }
        log::info!("unassigned replica dropped group={group_id} epoch={}", assignment.epoch);
        self.end_term(group_id);
        self.groups.remove(&group_id);
        self.epoch_changes.remove(group_id);
        self.outbox.void_records(group_id);
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
