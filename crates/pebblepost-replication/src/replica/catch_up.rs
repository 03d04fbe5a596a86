//! Catch-up of replicas that are not in sync: requests to join, and snapshots if the primary no longer
//! keeps the entries that a replica lacks.

use super::core::Replica;
use super::disk_record::DiskRecord;
use super::message::ReplicaMessage;
use super::output::ReplicaOutput;
use super::snapshot::{IncomingSnapshot, OutgoingSnapshot};
use super::state_machine::StateMachine;
use crate::codec::Blob;
use pebblepost_messages::{DiskId, Member};

/// Time without contact to the primary after which a replica asks to join, and interval between two
/// such requests, in heartbeat intervals.
const JOIN_REQUEST_INTERVAL_HEARTBEATS: u32 = 3;

/// Methods of the primary.
impl<S: StateMachine> Replica<S> {
    /// Handles the request of a replica that is not in sync to be sent the log.
    pub(super) fn on_join_request(&mut self, from: &Member, epoch: u64, last_index: u64, last_epoch: u64) {
        if epoch < self.record.epoch {
            self.send_epoch(from);
        }
        if !self.is_epoch_announced() || epoch > self.record.epoch || !self.is_target(from.disk) {
            return;
        }
        let agreed = self.log.last_index_at_most(last_index, last_epoch);
        self.track(from.clone(), agreed.unwrap_or(0) + 1);
        match (agreed, self.progress_mut(from.disk)) {
            (Some(index), Some(progress)) if progress.snapshot().is_none() => progress.probe_from(index + 1),
            (None, Some(_)) => self.start_snapshot(from.disk),
            _ => {}
        }
    }

    /// Starts to send a snapshot of the state at the commit index.
    pub(super) fn start_snapshot(&mut self, disk: DiskId) {
        let index = self.commit_index;
        let index_epoch = self.log.epoch_at(index).unwrap_or(0);
        let data = self.state_machine.snapshot();
        let Some(progress) = self.progress_mut(disk) else { return };
        progress.send_snapshot(OutgoingSnapshot { index, index_epoch, data, offset: 0 });
    }

    pub(super) fn on_snapshot_received(&mut self, from: DiskId, index: u64, offset: u64) {
        if let Some(progress) = self.progress_mut(from) {
            progress.on_snapshot_received(index, offset);
        }
    }

    /// Sends the next chunk of the snapshot if it is due.
    pub(super) fn send_snapshot_chunk(&mut self, disk: DiskId) {
        let epoch = self.record.epoch;
        let Some(progress) = self.progress_mut(disk) else { return };
        if !std::mem::take(&mut progress.is_send_due) {
            return;
        }
        let Some(snapshot) = progress.snapshot() else { return };
        let chunk = ReplicaMessage::SnapshotChunk {
            epoch,
            index: snapshot.index,
            index_epoch: snapshot.index_epoch,
            total: snapshot.data.len() as u64,
            offset: snapshot.offset as u64,
            bytes: Blob::from(snapshot.chunk().to_vec()),
        };
        let member = progress.member.clone();
        self.send(member, &chunk);
    }
}

/// Methods of the joining replica.
impl<S: StateMachine> Replica<S> {
    /// Asks the primary for the log if there was no contact. Every second request goes to all members,
    /// in case the primary has changed.
    pub(super) fn request_join_when_due(&mut self) {
        let interval = self.settings.heartbeat_interval * JOIN_REQUEST_INTERVAL_HEARTBEATS;
        let is_target = self.is_target(self.local.disk);
        let now = self.now;
        let Some(follower) = self.follower_mut() else { return };
        let has_recent_contact = follower.last_contact_at.is_some_and(|at| now.saturating_sub(at) < interval);
        if has_recent_contact || now < follower.next_join_request_at {
            return;
        }
        follower.next_join_request_at = now + interval;
        self.announce_replacement();
        let Some(follower) = self.follower_mut().filter(|_| is_target) else { return };
        follower.join_request_count += 1;
        let asks_all = follower.join_request_count.is_multiple_of(2);
        self.send_join_requests(asks_all);
    }

    pub(super) fn on_snapshot_chunk(
        &mut self, from: &Member, index: u64, index_epoch: u64, total: u64, offset: u64, bytes: &[u8],
    ) {
        self.on_primary_contact();
        let received = if index <= self.commit_index {
            self.on_matched(index);
            total
        } else {
            self.collect_chunk(index, offset, bytes)
        };
        if received >= total && index > self.commit_index {
            self.install_snapshot(index, index_epoch);
        }
        let message = ReplicaMessage::SnapshotReceived { epoch: self.record.epoch, index, offset: received };
        self.send(from.clone(), &message);
    }

    fn send_join_requests(&mut self, asks_all: bool) {
        let message = ReplicaMessage::JoinRequest {
            epoch: self.record.epoch,
            last_index: self.log.last_index(),
            last_epoch: self.log.last_epoch(),
        };
        let primary = self.record.primary;
        let mut receivers: Vec<Member> = self.record.in_sync.clone();
        receivers.extend(self.record.all_witnesses().cloned());
        receivers.sort();
        receivers.dedup_by_key(|member| member.disk);
        for member in receivers {
            if member.disk != self.local.disk && (asks_all || member.disk == primary) {
                self.send(member, &message);
            }
        }
    }

    fn on_matched(&mut self, index: u64) {
        if let Some(follower) = self.follower_mut() {
            follower.on_matched(index);
        }
    }

    /// Adds a chunk to the incoming snapshot and returns the number of bytes received so far.
    fn collect_chunk(&mut self, index: u64, offset: u64, bytes: &[u8]) -> u64 {
        let Some(follower) = self.follower_mut() else { return 0 };
        if follower.snapshot.as_ref().is_none_or(|snapshot| snapshot.index != index) {
            follower.snapshot = Some(IncomingSnapshot::new(index));
        }
        let Some(snapshot) = &mut follower.snapshot else { return 0 };
        snapshot.add_chunk(offset, bytes)
    }

    fn install_snapshot(&mut self, index: u64, index_epoch: u64) {
        let Some(snapshot) = self.follower_mut().and_then(|follower| follower.snapshot.take()) else {
            return;
        };
        if self.log.epoch_at(index) == Some(index_epoch) {
            // The log already holds everything that the snapshot covers. The entries after it must be
            // kept, so the log is not reset.
            self.on_matched(index);
            self.commit_to(index);
            return;
        }
        self.state_machine.restore(&snapshot.data);
        self.may_lack_entries = false;
        self.log.reset(index, index_epoch);
        self.writes.truncate_from(1);
        self.writes.push(DiskRecord::Snapshot { index, epoch: index_epoch, state: snapshot.data });
        self.writes.push(DiskRecord::Epoch(self.record.clone()));
        self.commit_index = index;
        self.on_matched(index);
        self.outputs.push(ReplicaOutput::Committed { index });
    }
}
