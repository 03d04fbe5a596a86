//! What a caller does with a replica.

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
    /// The epoch record in force, from the configuration manager; older ones are ignored.
    pub fn configure(&mut self, now: Duration, record: &EpochRecord) {
        self.advance(now);
        if record.epoch > self.record.epoch {
            self.enter_epoch(record.clone());
        } else if self.record.epoch == 0 && self.record.witnesses.is_empty() {
            self.record = record.clone();
        }
    }

    /// The machines that should hold the group (the primary adds and drops replicas towards that).
    /// Empty: whoever is in sync stays, and whoever asks to join is added.
    pub fn set_targets(&mut self, now: Duration, targets: Vec<Member>) {
        self.advance(now);
        self.targets = targets;
    }

    /// The replicas that the caller has heard from lately. A replica that stands for election leaves
    /// out the others, if enough remain; without this it leaves out the former primary only.
    pub fn set_reachable(&mut self, disks: BTreeSet<DiskId>) {
        self.election.reachable = Some(disks);
    }

    /// Sends the newest epoch record to a replica that has just connected.
    pub fn announce_epoch(&mut self, to: &Member) {
        if self.record.epoch > 0 {
            self.send_epoch(to);
        }
    }

    /// A requested change of the epoch has ended, with or without success.
    pub fn on_epoch_change_ended(&mut self, now: Duration) {
        self.advance(now);
        let heartbeat_interval = self.settings.heartbeat_interval;
        let backoff = heartbeat_interval + self.random.duration_below(heartbeat_interval * 2);
        self.pending_change.on_request_ended(now, backoff);
    }

    /// Appends an entry; its index. Committed later.
    ///
    /// # Errors
    ///
    /// Fails where this replica does not act as primary, or too few replicas are in sync.
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

    /// A message arrived. What can't be decoded is dropped.
    pub fn receive(&mut self, now: Duration, from: &Member, message: &[u8]) {
        self.advance(now);
        if let Some(message) = decode::<ReplicaMessage>(message) {
            self.dispatch(from, message);
        }
    }

    /// All writes up to this token are on disk.
    pub fn on_persisted(&mut self, now: Duration, token: u64) {
        self.advance(now);
        self.writes.complete(token);
        self.commit_as_primary();
    }

    /// Time passed. To be called every 50 ms or so.
    pub fn tick(&mut self, now: Duration) {
        self.advance(now);
        self.extend_timeouts_after_stall();
        self.last_tick = now;
        match self.role {
            Role::Primary(_) => self.tick_as_primary(),
            Role::Follower(_) => self.tick_as_follower(),
        }
    }

    /// Whether this replica is primary, has committed everything of earlier epochs and holds its
    /// lease: it may propose, and answer reads.
    pub fn is_acting(&self, now: Duration) -> bool {
        let Some(primary) = self.primary() else { return false };
        !primary.is_draining() && !self.pending_change.hands_over() && self.holds_lease(now)
    }

    /// The application's state, committed entries only.
    pub fn state(&self) -> &S {
        &self.state_machine
    }

    /// Newest epoch record known.
    pub fn record(&self) -> &EpochRecord {
        &self.record
    }

    /// Index of the newest committed entry.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// How far each known replica holds the log on disk, for displays.
    pub fn progress(&self) -> Vec<(DiskId, u64)> {
        let mut progress = vec![(self.local.disk, self.writes.persisted_index())];
        if let Some(primary) = self.primary() {
            let others = primary.progress.iter();
            progress.extend(others.map(|other| (other.member.disk, other.matched.unwrap_or(0))));
        }
        progress
    }

    /// Records that say all that the disk has to hold now (a snapshot at the commit index, the
    /// entries after it, the epoch), for compaction. `None`: the state machine is damaged, and what
    /// the disk holds is the only copy that another program may still be able to read.
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

    /// Takes what the caller must do.
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
