//! The public methods of a replica.

use super::core::Replica;
use super::disk_record::DiskRecord;
use super::message::ReplicaMessage;
use super::output::{ProposeError, ReplicaOutput};
use super::role::Role;
use super::state_machine::StateMachine;
use crate::codec::decode;
use crate::record::EpochRecord;
use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeSet;
use std::time::Duration;

impl<S: StateMachine> Replica<S> {
    /// Passes in the epoch record in force, from the configuration manager. Older records are ignored.
    pub fn configure(&mut self, now: Duration, record: &EpochRecord) {
        self.advance(now);
        if record.epoch > self.record.epoch {
            self.enter_epoch(record.clone());
        } else if self.record.epoch == 0 && self.record.witnesses.is_empty() {
            self.record = record.clone();
        }
    }

    /// Sets the members that should hold the group. The primary adds and drops replicas accordingly.
    /// If the list is empty, in-sync replicas stay and every replica that asks to join is added.
    pub fn set_targets(&mut self, now: Duration, targets: Vec<Member>) {
        self.advance(now);
        self.targets = targets;
    }

    /// Sets the replicas from which the caller has recently received messages. A replica that campaigns
    /// leaves out the others if enough remain. If this was never called, it leaves out only the former
    /// primary.
    pub fn set_reachable(&mut self, disks: BTreeSet<DiskId>) {
        self.election.reachable = Some(disks);
    }

    /// Sends the newest epoch record to a replica. The caller calls this when a connection to it opens.
    pub fn announce_epoch(&mut self, to: &Member) {
        if self.record.epoch > 0 {
            self.send_epoch(to);
        }
    }

    /// Handles the end of a requested change of the epoch, with or without success.
    pub fn on_epoch_change_ended(&mut self, now: Duration) {
        self.advance(now);
        let heartbeat_interval = self.settings.heartbeat_interval;
        let backoff = heartbeat_interval + self.random.duration_below(heartbeat_interval * 2);
        self.pending_change.on_request_ended(now, backoff);
    }

    /// Appends an entry and returns its index. The entry is committed once
    /// [`ReplicaOutput::Committed`] reports this index; before that it may still be lost.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not act as primary, or if too few replicas are in sync.
    pub fn propose(&mut self, now: Duration, entry: Vec<u8>) -> Result<u64, ProposeError> {
        self.advance(now);
        let is_primary = self.primary().is_some();
        if is_primary && !self.settings.tolerance.is_met_by(&self.record.in_sync) {
            return Err(ProposeError::TooFewReplicas);
        }
        if !self.is_acting(now) {
            return Err(ProposeError::NotPrimary);
        }
        Ok(self.append_as_primary(entry))
    }

    /// Handles a message. A malformed message is dropped.
    pub fn receive(&mut self, now: Duration, from: &Member, message: &[u8]) {
        self.advance(now);
        if let Some(message) = decode::<ReplicaMessage>(message) {
            self.dispatch(from, message);
        }
    }

    /// Handles the completion of all writes up to this token.
    pub fn on_persisted(&mut self, now: Duration, token: u64) {
        self.advance(now);
        self.writes.complete(token);
        self.commit_as_primary();
    }

    /// Handles timeouts. The caller calls this about every 50 ms.
    pub fn tick(&mut self, now: Duration) {
        self.advance(now);
        self.extend_timeouts_after_stall();
        self.last_tick = now;
        match self.role {
            Role::Primary(_) => self.tick_as_primary(),
            Role::Follower(_) => self.tick_as_follower(),
        }
    }

    /// Returns whether this replica acts as primary: it is primary, has committed all entries of
    /// earlier epochs and holds its lease. It may then accept proposals and answer reads.
    pub fn is_acting(&self, now: Duration) -> bool {
        let Some(primary) = self.primary() else { return false };
        !primary.is_draining() && !self.pending_change.hands_over() && self.holds_lease(now)
    }

    /// Returns the state of the application, which reflects committed entries only.
    pub fn state(&self) -> &S {
        &self.state_machine
    }

    /// Returns the newest epoch record known.
    pub fn record(&self) -> &EpochRecord {
        &self.record
    }

    /// Returns the index of the newest committed entry.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the index up to which each known replica holds the log on disk, for status displays.
    pub fn progress(&self) -> Vec<(DiskId, u64)> {
        let mut progress = vec![(self.local.disk, self.writes.persisted_index())];
        if let Some(primary) = self.primary() {
            let others = primary.progress.iter();
            progress.extend(others.map(|other| (other.member.disk, other.matched.unwrap_or(0))));
        }
        progress
    }

    /// Returns records that can replace the contents of the disk, for compaction: a snapshot at the
    /// commit index, the entries after it and the epoch.
    ///
    /// Returns `None` if the state machine is damaged: the disk then holds the only copy that another
    /// version of the program may be able to read.
    pub fn checkpoint(&self) -> Option<Vec<DiskRecord>> {
        if self.state_machine.is_damaged() {
            return None;
        }
        let epoch = self.log.epoch_at(self.commit_index).unwrap_or(0);
        let state = self.state_machine.snapshot();
        let mut records = vec![DiskRecord::Snapshot { index: self.commit_index, epoch, state }];
        let entries = self.log.entries_from(self.commit_index + 1);
        records.extend(entries.map(|(index, entry)| DiskRecord::entry(index, entry)));
        records.push(DiskRecord::Epoch(self.record.clone()));
        if self.term.acted_in == self.record.epoch && self.term.acted_in > 0 {
            records.push(DiskRecord::Acted { epoch: self.term.acted_in });
        }
        Some(records)
    }

    /// Takes the outputs that the caller must carry out, in order.
    pub fn take_outputs(&mut self) -> Vec<ReplicaOutput> {
        if let Some((token, records)) = self.writes.flush(self.now, self.log.last_index()) {
            self.outputs.push(ReplicaOutput::Persist { token, records });
        }
        match self.role {
            Role::Primary(_) => self.flush_as_primary(),
            Role::Follower(_) => self.flush_as_follower(),
        }
        std::mem::take(&mut self.outputs)
    }
}
