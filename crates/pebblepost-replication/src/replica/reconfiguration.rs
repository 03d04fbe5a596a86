//! Changes of the membership that the primary requests: drops, joins, replacements.

use super::core::Replica;
use super::output::ReplicaOutput;
use super::progress::Progress;
use super::state_machine::StateMachine;
use crate::record::{EpochRecord, contains};
use pebblepost_messages::{DiskId, Member};

/// A joiner that has not answered for this many times `max_replica_lag` is dropped.
const DROP_AFTER_LAGS: u32 = 3;

impl<S: StateMachine> Replica<S> {
    /// Drops joiners that don't answer or are not targets any more.
    pub(super) fn drop_unresponsive_joiners(&mut self) {
        let timeout = self.settings.max_replica_lag * DROP_AFTER_LAGS;
        let now = self.now;
        let counting = self.record.in_sync.iter().chain(self.pending_change.joiners());
        let counting: Vec<DiskId> = counting.map(|member| member.disk).collect();
        let targets = self.targets.clone();
        let Some(primary) = self.primary_mut() else { return };
        primary.progress.retain(|progress| {
            let disk = progress.member.disk;
            let is_target = targets.is_empty() || contains(&targets, disk);
            counting.contains(&disk) || (is_target && now.saturating_sub(progress.last_ack_at) <= timeout)
        });
    }

    /// Targets that have not asked for the log may not know the epoch.
    pub(super) fn announce_targets_when_due(&mut self) {
        let (now, interval) = (self.now, self.settings.max_replica_lag);
        let local_disk = self.local.disk;
        let targets = self.targets.clone();
        let Some(primary) = self.primary_mut() else { return };
        if !primary.is_epoch_open || now < primary.announce_targets_at {
            return;
        }
        primary.announce_targets_at = now + interval;
        let is_untracked =
            |target: &&Member| target.disk != local_disk && !primary.progress.contains(target.disk);
        let untracked: Vec<Member> = targets.iter().filter(is_untracked).cloned().collect();
        for target in untracked {
            self.send_epoch(&target);
        }
    }

    /// Requests the next epoch where the membership should differ.
    pub(super) fn plan_change(&mut self) {
        if !self.is_epoch_open() || !self.pending_change.may_request(self.now) || self.is_as_desired() {
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
        if in_sync != self.record.in_sync || self.pending_change.is_restricting() {
            self.request_epoch(self.local.disk, in_sync);
        }
    }

    /// Requests the next epoch from the configuration manager.
    pub(super) fn request_epoch(&mut self, primary: DiskId, in_sync: Vec<Member>) {
        let expected = self.record.epoch;
        if self.primary().is_some() {
            let hands_over = primary != self.local.disk;
            self.pending_change.count_in(&self.record, &in_sync, hands_over);
        }
        self.pending_change.on_request();
        let record = EpochRecord { epoch: expected + 1, primary, in_sync, ..self.record.clone() };
        self.outputs.push(ReplicaOutput::ChangeEpoch { expected, record });
    }

    /// Whether the membership is as it should be: the common case, checked cheaply.
    fn is_as_desired(&self) -> bool {
        let Some(primary) = self.primary() else { return true };
        let is_fine = |member: &Member| self.is_target(member.disk) && !self.is_lagging(member.disk);
        let has_joiners = primary.progress.iter().any(|other| !self.record.is_in_sync(other.member.disk));
        !primary.is_draining()
            && !has_joiners
            && !self.pending_change.is_restricting()
            && self.record.in_sync.iter().all(is_fine)
    }

    /// The in-sync replicas as they should be; as they are where nothing better is possible.
    fn desired_in_sync(&self) -> Vec<Member> {
        let alive = self.record.in_sync.iter().filter(|member| !self.is_lagging(member.disk));
        let alive: Vec<Member> = alive.cloned().collect();
        let is_kept = |member: &&Member| member.disk == self.local.disk || self.is_target(member.disk);
        let kept: Vec<Member> = alive.iter().filter(is_kept).cloned().collect();
        let ready = self.ready_joiners();
        let choices = [[kept, ready.clone()].concat(), [alive, ready].concat()];
        let is_enough = |choice: &Vec<Member>| self.settings.tolerance.is_met_by(choice);
        choices.into_iter().find(is_enough).unwrap_or_else(|| self.record.in_sync.clone())
    }

    fn is_lagging(&self, disk: DiskId) -> bool {
        let Some(primary) = self.primary() else { return false };
        let (last_index, max_lag) = (self.log.last_index(), self.settings.max_replica_lag);
        primary.progress.get(disk).is_some_and(|other| other.is_lagging(self.now, last_index, max_lag))
    }

    /// Replicas that are not in sync and hold all that may have been acknowledged.
    fn ready_joiners(&self) -> Vec<Member> {
        let Some(primary) = self.primary() else { return Vec::new() };
        let joiners = primary.progress.iter().filter(|other| self.is_ready(other, primary.takeover_index));
        joiners.map(|joiner| joiner.member.clone()).collect()
    }

    fn is_ready(&self, joiner: &Progress, takeover_index: u64) -> bool {
        let disk = joiner.member.disk;
        let required_index = self.commit_index.max(takeover_index);
        let holds_all = joiner.matched.is_some_and(|matched| matched >= required_index);
        !self.record.is_in_sync(disk)
            && self.is_target(disk)
            && !self.is_lagging(disk)
            && joiner.grants_lease(self.now, self.settings.lease)
            && (holds_all || !self.guards.joiner_is_caught_up)
    }
}
