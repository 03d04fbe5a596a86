//! The term of a primary: how it starts, goes on in the next epoch, and ends.

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

    /// Stays primary in the next epoch: the log is the same, so what is acknowledged stays so.
    pub(super) fn continue_as_primary(&mut self, former: &EpochRecord) {
        let last_index = self.log.last_index();
        let epoch = self.record.epoch;
        let in_sync = self.record.in_sync.clone();
        let Some(primary) = self.primary_mut() else { return };
        let has_acted = primary.is_announced;
        primary.is_epoch_open = false;
        primary.draining_since = None;
        primary.epoch_receivers.clone_from(&former.in_sync);
        for progress in primary.progress.iter_mut() {
            progress.start_epoch(last_index);
            if !contains(&in_sync, progress.member.disk) {
                // It is added on what it acknowledges in this epoch only: see `acknowledged_epoch`.
                progress.lease_start = None;
            }
        }
        self.track_in_sync();
        if has_acted {
            self.record_acting(epoch);
        }
    }

    /// Ends the term, if there was one; the successor learns that this replica acts no more.
    pub(super) fn stop_as_primary(&mut self, former: &EpochRecord) {
        if !self.primary().is_some_and(|primary| primary.is_announced) {
            return;
        }
        self.outputs.push(ReplicaOutput::SteppedDown);
        self.send_to_primary(&ReplicaMessage::SteppedDown { epoch: former.epoch });
    }

    pub(super) fn tick_as_primary(&mut self) {
        if self.is_unable(self.now) {
            return;
        }
        self.send_heartbeats_when_due();
        self.drop_unresponsive_joiners();
        self.announce_targets_when_due();
        self.plan_change();
    }

    /// Opens the epoch once its record is on disk, and sends what is due. Sends nothing while it is
    /// unable to lead.
    pub(super) fn flush_as_primary(&mut self) {
        self.open_epoch();
        if self.is_epoch_open() && !self.is_unable(self.now) {
            let last_index = self.log.last_index();
            let Some(primary) = self.primary() else { return };
            for disk in primary.progress.due(last_index) {
                self.send_due(disk);
            }
        }
        self.announce_when_acting();
    }

    /// Tracks the progress of another replica from `next_index` on, unless it is tracked.
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

    /// Nothing is sent in an epoch before its record is on disk: a later incarnation of this replica
    /// must know that the epoch is used up.
    fn open_epoch(&mut self) {
        if !self.writes.is_epoch_persisted() && self.guards.new_epoch_after_restart {
            return;
        }
        let now = self.now;
        if self.primary().is_none_or(|primary| primary.is_epoch_open) {
            return;
        }
        // Who was dropped by this epoch is sent its record, and nothing that it would acknowledge.
        self.drop_unresponsive_joiners();
        let Some(primary) = self.primary_mut() else { return };
        primary.is_epoch_open = true;
        primary.is_term_open = true;
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

    fn announce_when_acting(&mut self) {
        if !self.is_acting(self.now) {
            return;
        }
        let epoch = self.record.epoch;
        let Some(primary) = self.primary_mut().filter(|primary| !primary.is_announced) else { return };
        primary.is_announced = true;
        self.outputs.push(ReplicaOutput::BecamePrimary { epoch });
        self.record_acting(epoch);
    }

    /// A later incarnation of this replica must know that it acted.
    fn record_acting(&mut self, epoch: u64) {
        self.term.on_acted(epoch);
        self.writes.push(DiskRecord::Acted { epoch });
    }
}
