//! Changes of the membership that the primary requests: removed, added and replaced replicas.

use super::core::Replica;
use super::output::ReplicaOutput;
use super::progress::Progress;
use super::state_machine::StateMachine;
use crate::record::{EpochRecord, contains};
use pebblepost_messages::{DiskId, Member};

/// Time without an acknowledgement after which a joiner is dropped, in multiples of `max_replica_lag`.
const JOINER_TIMEOUT_LAGS: u32 = 3;

impl<S: StateMachine> Replica<S> {
    /// Stops tracking joiners that have not acknowledged a heartbeat in time or are no longer targets.
    /// In-sync replicas, and joiners that an undecided change names, stay tracked.
    pub(super) fn drop_unresponsive_joiners(&mut self) {
        let timeout = self.settings.max_replica_lag * JOINER_TIMEOUT_LAGS;
        let now = self.now;
        let required = self.record.in_sync.iter().chain(self.pending_change.joiners());
        let required: Vec<DiskId> = required.map(|member| member.disk).collect();
        let targets = self.targets.clone();
        let Some(primary) = self.primary_mut() else { return };
        primary.progress.retain(|progress| {
            let disk = progress.member.disk;
            let is_target = targets.is_empty() || contains(&targets, disk);
            required.contains(&disk) || (is_target && now.saturating_sub(progress.last_ack_at) <= timeout)
        });
    }

    /// Sends the epoch record to targets that have not asked for the log, because they may not know the
    /// epoch.
    pub(super) fn announce_epoch_to_targets_when_due(&mut self) {
        let (now, interval) = (self.now, self.settings.max_replica_lag);
        let local_disk = self.local.disk;
        let targets = self.targets.clone();
        let Some(primary) = self.primary_mut() else { return };
        if !primary.is_epoch_announced || now < primary.next_target_announcement_at {
            return;
        }
        primary.next_target_announcement_at = now + interval;
        let is_untracked =
            |target: &&Member| target.disk != local_disk && !primary.progress.contains(target.disk);
        let untracked: Vec<Member> = targets.iter().filter(is_untracked).cloned().collect();
        for target in untracked {
            self.send_epoch(&target);
        }
    }

    /// Requests the next epoch if the membership differs from what it should be.
    pub(super) fn plan_change(&mut self) {
        if !self.is_epoch_announced()
            || !self.pending_change.may_request(self.now)
            || self.is_membership_as_desired()
        {
            return;
        }
        let in_sync = self.desired_in_sync();
        let hands_over = !self.is_target(self.local.disk);
        if hands_over && self.hand_over(&in_sync) {
            return;
        }
        if !hands_over && let Some(primary) = self.primary_mut() {
            primary.draining_since = None;
        }
        if in_sync != self.record.in_sync || self.pending_change.restricts_primary() {
            self.request_epoch(self.local.disk, in_sync);
        }
    }

    /// Requests the next epoch with this primary and these in-sync replicas from the configuration
    /// manager.
    pub(super) fn request_epoch(&mut self, primary: DiskId, in_sync: Vec<Member>) {
        let expected = self.record.epoch;
        if self.primary().is_some() {
            let hands_over = primary != self.local.disk;
            self.pending_change.add_requested_change(&self.record, &in_sync, hands_over);
        }
        self.pending_change.on_request();
        let record = EpochRecord { epoch: expected + 1, primary, in_sync, ..self.record.clone() };
        self.outputs.push(ReplicaOutput::ChangeEpoch { expected, record });
    }

    /// Returns whether the membership is as it should be. This is a cheap check for the common case.
    fn is_membership_as_desired(&self) -> bool {
        let Some(primary) = self.primary() else { return true };
        let is_responsive_target =
            |member: &Member| self.is_target(member.disk) && !self.is_lagging(member.disk);
        let has_joiners = primary.progress.iter().any(|other| !self.record.is_in_sync(other.member.disk));
        !primary.is_draining()
            && !has_joiners
            && !self.pending_change.restricts_primary()
            && self.record.in_sync.iter().all(is_responsive_target)
    }

    /// Returns the in-sync replicas as they should be: responsive targets and joiners that are ready.
    /// If these are too few for the tolerance, responsive replicas that are not targets are kept, too;
    /// if that is not enough either, the set stays as it is.
    fn desired_in_sync(&self) -> Vec<Member> {
        let responsive = self.record.in_sync.iter().filter(|member| !self.is_lagging(member.disk));
        let responsive: Vec<Member> = responsive.cloned().collect();
        let is_kept = |member: &&Member| member.disk == self.local.disk || self.is_target(member.disk);
        let kept: Vec<Member> = responsive.iter().filter(is_kept).cloned().collect();
        let ready = self.ready_joiners();
        let choices = [[kept, ready.clone()].concat(), [responsive, ready].concat()];
        let is_enough = |choice: &Vec<Member>| self.settings.tolerance.is_met_by(choice);
        choices.into_iter().find(is_enough).unwrap_or_else(|| self.record.in_sync.clone())
    }

    fn is_lagging(&self, disk: DiskId) -> bool {
        let Some(primary) = self.primary() else { return false };
        let (last_index, max_lag) = (self.log.last_index(), self.settings.max_replica_lag);
        primary.progress.get(disk).is_some_and(|other| other.is_lagging(self.now, last_index, max_lag))
    }

    /// Returns the replicas that are not in sync but hold every entry that may have been acknowledged.
    fn ready_joiners(&self) -> Vec<Member> {
        let Some(primary) = self.primary() else { return Vec::new() };
        let joiners =
            primary.progress.iter().filter(|other| self.is_ready_to_join(other, primary.takeover_index));
        joiners.map(|joiner| joiner.member.clone()).collect()
    }

    fn is_ready_to_join(&self, joiner: &Progress, takeover_index: u64) -> bool {
        let disk = joiner.member.disk;
        let required_index = self.commit_index.max(takeover_index);
        let holds_all = joiner.matched.is_some_and(|matched| matched >= required_index);
        !self.record.is_in_sync(disk)
            && self.is_target(disk)
            && !self.is_lagging(disk)
            && joiner.grants_lease(self.now, self.settings.lease)
            && (holds_all || !self.guards.requires_caught_up_joiner)
    }
}
