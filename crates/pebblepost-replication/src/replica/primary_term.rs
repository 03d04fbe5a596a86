//! The term of a primary: its start, its continuation in the next epoch, and its end.

use super::core::Replica;
use super::disk_record::DiskRecord;
use super::message::ReplicaMessage;
use super::output::ReplicaOutput;
use super::role::{Primary, Role};
use super::state_machine::StateMachine;
use crate::record::{EpochRecord, contains};
use pebblepost_messages::Member;

impl<S: StateMachine> Replica<S> {
    /// Starts a term as primary of the current epoch.
    pub(super) fn become_primary(&mut self) {
        self.role = Role::Primary(Box::new(Primary::new(self.log.last_index(), self.now)));
        self.track_in_sync();
    }

    /// Stays primary in the next epoch. The log does not change, so acknowledged entries stay
    /// acknowledged.
    pub(super) fn continue_as_primary(&mut self, former: &EpochRecord) {
        let last_index = self.log.last_index();
        let epoch = self.record.epoch;
        let in_sync = self.record.in_sync.clone();
        let Some(primary) = self.primary_mut() else { return };
        let has_acted = primary.has_reported_acting;
        primary.is_epoch_announced = false;
        primary.draining_since = None;
        primary.epoch_receivers.clone_from(&former.in_sync);
        for progress in primary.progress.iter_mut() {
            progress.start_epoch(last_index);
            if !contains(&in_sync, progress.member.disk) {
                // A replica that the new epoch dropped is added again only on the strength of
                // acknowledgements in the new epoch; see `acknowledged_epoch`.
                progress.lease_start = None;
            }
        }
        self.track_in_sync();
        if has_acted {
            self.persist_acted(epoch);
        }
    }

    /// Ends the term if this replica acted in it, and tells the successor that it stepped down.
    pub(super) fn stop_as_primary(&mut self, former: &EpochRecord) {
        if !self.primary().is_some_and(|primary| primary.has_reported_acting) {
            return;
        }
        self.outputs.push(ReplicaOutput::SteppedDown);
        self.send_to_primary(&ReplicaMessage::SteppedDown { epoch: former.epoch });
    }

    pub(super) fn tick_as_primary(&mut self) {
        if self.is_unable_to_lead(self.now) {
            return;
        }
        self.send_heartbeats_when_due();
        self.drop_unresponsive_joiners();
        self.announce_epoch_to_targets_when_due();
        self.plan_change();
    }

    /// Announces the epoch once its record is on disk, and sends the messages that are due. Sends no
    /// entries and no snapshots while this replica is unable to lead.
    pub(super) fn flush_as_primary(&mut self) {
        self.announce_epoch_when_persisted();
        if self.is_epoch_announced() && !self.is_unable_to_lead(self.now) {
            let last_index = self.log.last_index();
            let Some(primary) = self.primary() else { return };
            for disk in primary.progress.due(last_index) {
                self.send_due(disk);
            }
        }
        self.report_acting_once();
    }

    /// Starts to track the progress of another replica from `next_index`, unless it is tracked already.
    pub(super) fn track(&mut self, member: Member, next_index: u64) {
        let now = self.now;
        if member.disk == self.local.disk {
            return;
        }
        if let Some(primary) = self.primary_mut() {
            primary.progress.add(member, next_index, now);
        }
    }

    fn track_in_sync(&mut self) {
        let members = self.record.in_sync.clone();
        for member in members {
            self.track(member, self.log.last_index() + 1);
        }
    }

    /// Announces the epoch if its record is on disk. Nothing is sent in an epoch before that: after a
    /// restart this replica must know that it may have sent messages in this epoch.
    fn announce_epoch_when_persisted(&mut self) {
        if !self.writes.is_epoch_persisted() && self.guards.requires_new_epoch_after_restart {
            return;
        }
        let now = self.now;
        if self.primary().is_none_or(|primary| primary.is_epoch_announced) {
            return;
        }
        // Replicas that this epoch dropped are sent its record, but nothing that they would
        // acknowledge.
        self.drop_unresponsive_joiners();
        let Some(primary) = self.primary_mut() else { return };
        primary.is_epoch_announced = true;
        primary.has_announced_first_epoch = true;
        primary.heartbeats.set_due(now);
        let mut receivers = std::mem::take(&mut primary.epoch_receivers);
        receivers.extend(primary.progress.iter().map(|progress| progress.member.clone()));
        receivers.sort();
        receivers.dedup();
        receivers.retain(|member| member.disk != self.local.disk);
        for member in &receivers {
            self.send_epoch(member);
        }
        self.send_heartbeats_when_due();
        self.commit_as_primary();
    }

    fn report_acting_once(&mut self) {
        if !self.is_acting(self.now) {
            return;
        }
        let epoch = self.record.epoch;
        let Some(primary) = self.primary_mut().filter(|primary| !primary.has_reported_acting) else { return };
        primary.has_reported_acting = true;
        self.outputs.push(ReplicaOutput::BecamePrimary { epoch });
        self.persist_acted(epoch);
    }

    /// Writes to disk that this replica acts in this epoch, so that it knows this after a restart.
    fn persist_acted(&mut self, epoch: u64) {
        self.term.on_acted(epoch);
        self.writes.push(DiskRecord::Acted { epoch });
    }
}
