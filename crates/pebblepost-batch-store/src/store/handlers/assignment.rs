//! Assignments of store groups and answers to epoch changes, applied to the replicas of this machine.

use crate::store::Store;
use crate::store::state::epoch_changes::{EpochChangeOutcome, epoch_record_of};
use crate::store::state::group::Group;
use pebblepost_messages::batch::STORE_GROUPS;
use pebblepost_messages::control::GroupEpoch;
use pebblepost_messages::feed::StoreGroup;
use pebblepost_replication::record::EpochRecord;
use std::time::Duration;

/// Time without a message after which a replica may be dropped if its store group is assigned to other
/// machines.
const UNUSED_REPLICA_TIMEOUT: Duration = Duration::from_secs(10);

impl Store {
    /// Handles a new link to the primary of the control plane, over which this machine was announced.
    ///
    /// Unanswered epoch changes are requested again, and version lags are reported again.
    pub fn handle_control_connected(&mut self) {
        for message in self.epoch_changes.repeated_messages() {
            self.outbox.send_to_control(message);
        }
        self.report_version_lags();
    }

    /// Applies assignments of store groups to machines from the feed of the control plane.
    ///
    /// Assignments older than the known ones, and those of unknown store groups, are ignored.
    pub fn apply_assignments(&mut self, now: Duration, assignments: &[StoreGroup]) {
        for assignment in assignments.iter().filter(|assignment| assignment.group < STORE_GROUPS) {
            if !self.membership.update_assignment(assignment) {
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

    /// Handles the answer of the control plane to an epoch change; `current` is the epoch in force.
    pub fn handle_epoch_change_answer(
        &mut self, now: Duration, request: u64, group_id: u32, current: &GroupEpoch,
    ) {
        let outcome = self.epoch_changes.handle_answer(request, group_id, current);
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
            group.replica.on_epoch_change_ended(now);
        }
        self.process_replica_outputs(now, group_id);
    }

    /// Requests an epoch change of a store group from the control plane.
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

    /// Abandons the epoch changes whose answer timed out, so that the replicas can request them again.
    pub(crate) fn time_out_epoch_changes(&mut self, now: Duration) {
        for group_id in self.epoch_changes.take_timed_out(now) {
            if let Some(group) = self.groups.get_mut(&group_id) {
                group.replica.on_epoch_change_ended(now);
            }
            self.process_replica_outputs(now, group_id);
        }
    }

    /// Passes the newest assignment of a store group to its replica.
    pub(crate) fn configure_group(&mut self, now: Duration, group_id: u32) {
        let Some(assignment) = self.membership.assignment(group_id) else { return };
        let record = epoch_record(assignment);
        let targets = self.membership.targets(assignment);
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        group.replica.configure(now, &record);
        group.replica.set_targets(now, targets);
    }

    /// Passes the assignments of all store groups to their replicas again, after a machine has started or
    /// stopped draining.
    pub(crate) fn reconfigure_groups(&mut self, now: Duration) {
        for group_id in self.group_ids() {
            self.configure_group(now, group_id);
            self.process_replica_outputs(now, group_id);
        }
    }

    /// Drops replicas whose store group is assigned to other machines.
    ///
    /// Acknowledgements of a replica may still count towards a quorum: an epoch change that adds the replica
    /// may be in flight to the control plane for any length of time. Such a change is based on an epoch in
    /// which the replica acknowledged something. A replica is therefore dropped only once the control plane
    /// has moved past that epoch, or the primary of that epoch has answered that it requested no such
    /// change. In addition, no machine must have sent it a message for [`UNUSED_REPLICA_TIMEOUT`].
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
        if group.replica.acknowledged_epoch() >= assignment.epoch {
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
