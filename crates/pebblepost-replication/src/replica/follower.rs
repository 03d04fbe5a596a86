//! A replica that is not primary: takes entries, beacons and snapshots from the primary.

use super::log::LogEntry;
use super::message::ReplicaMessage;
use super::{DiskRecord, Replica, Role, StateMachine};
use pebblepost_messages::Member;
use std::time::Duration;

/// Beacon periods without a word of the primary before a replica asks to join.
const JOIN_AFTER_BEACONS: u32 = 3;

/// A snapshot that is arriving.
#[derive(Debug)]
struct IncomingSnapshot {
    index: u64,
    data: Vec<u8>,
}

/// State of a follower in one epoch.
#[derive(Debug, Default)]
pub(super) struct Follower {
    /// The log agrees with the primary's up to here.
    matched: u64,
    /// Newest index that was acknowledged.
    acked: u64,
    /// An append wants an answer, also if nothing new is on disk.
    wants_ack: bool,
    /// A beacon that waits for the epoch record to be on disk.
    unconfirmed_beacon: Option<u64>,
    snapshot: Option<IncomingSnapshot>,
    heard_at: Option<Duration>,
    join_at: Duration,
    join_requests: u32,
}

impl<S: StateMachine> Replica<S> {
    fn follower(&mut self) -> Option<&mut Follower> {
        match &mut self.role {
            Role::Follower(follower) => Some(follower),
            Role::Primary(_) => None,
        }
    }

    fn matched(&self) -> u64 {
        match &self.role {
            Role::Follower(follower) => follower.matched,
            Role::Primary(_) => self.log.last_index(),
        }
    }

    /// Notes that the primary spoke.
    fn hear_primary(&mut self) {
        let now = self.now;
        self.succession.heard_primary = true;
        if let Some(follower) = self.follower() {
            follower.heard_at = Some(now);
        }
    }

    pub(super) fn take_append(
        &mut self, from: &Member, previous_index: u64, previous_epoch: u64, committed: u64,
        entries: Vec<LogEntry>,
    ) {
        self.hear_primary();
        if !self.agrees_at(previous_index, previous_epoch) {
            self.reject_append(from, previous_index);
            return;
        }
        // The primary counts on no more than what it found here.
        self.lacks_history = false;
        let mut index = previous_index;
        for entry in entries {
            index += 1;
            if !self.place_entry(index, entry) {
                log_conflict(index);
                return;
            }
        }
        if let Some(follower) = self.follower() {
            follower.matched = follower.matched.max(index);
            follower.wants_ack = true;
        }
        self.commit_to(committed.min(self.matched()));
    }

    /// Whether the log agrees with the primary's up to an index. What is no longer kept is
    /// committed, and agrees.
    fn agrees_at(&self, index: u64, epoch: u64) -> bool {
        index < self.log.base_index() || self.log.epoch_at(index) == Some(epoch)
    }

    /// Puts the primary's entry at its place; what differs from there on is replaced. False if
    /// that would touch committed entries.
    fn place_entry(&mut self, index: u64, entry: LogEntry) -> bool {
        if index <= self.log.base_index() || self.log.epoch_at(index) == Some(entry.epoch) {
            return true;
        }
        if index <= self.committed {
            return false;
        }
        if index <= self.log.last_index() {
            self.log.truncate_from(index);
            self.disk.truncated_from(index);
        }
        self.append_to_log(entry);
        true
    }

    fn reject_append(&mut self, to: &Member, previous_index: u64) {
        let below = previous_index.saturating_sub(1);
        let hint_index = below.min(self.log.last_index()).max(self.log.base_index());
        let hint_epoch = self.log.epoch_at(hint_index).unwrap_or(0);
        let epoch = self.record.epoch;
        let message = ReplicaMessage::AppendRejected { epoch, previous_index, hint_index, hint_epoch };
        self.send(to.clone(), &message);
    }

    pub(super) fn take_beacon(&mut self, number: u64, committed: u64) {
        self.hear_primary();
        if let Some(follower) = self.follower() {
            follower.unconfirmed_beacon = Some(number);
        }
        self.commit_to(committed.min(self.matched()));
    }

    pub(super) fn take_snapshot_part(
        &mut self, from: &Member, index: u64, index_epoch: u64, total: u64, offset: u64, bytes: &[u8],
    ) {
        self.hear_primary();
        let received = if index <= self.committed {
            self.have_matched(index);
            total
        } else {
            self.collect_part(index, offset, bytes)
        };
        if received >= total && index > self.committed {
            self.install_snapshot(index, index_epoch);
        }
        let message = ReplicaMessage::SnapshotReceived { epoch: self.record.epoch, index, offset: received };
        self.send(from.clone(), &message);
    }

    fn have_matched(&mut self, index: u64) {
        if let Some(follower) = self.follower() {
            follower.matched = follower.matched.max(index);
            follower.wants_ack = true;
        }
    }

    /// Adds a piece to the arriving snapshot; how many bytes of it are here.
    fn collect_part(&mut self, index: u64, offset: u64, bytes: &[u8]) -> u64 {
        let Some(follower) = self.follower() else { return 0 };
        if follower.snapshot.as_ref().is_none_or(|snapshot| snapshot.index != index) {
            follower.snapshot = Some(IncomingSnapshot { index, data: Vec::new() });
        }
        let Some(snapshot) = &mut follower.snapshot else { return 0 };
        if offset == snapshot.data.len() as u64 {
            snapshot.data.extend_from_slice(bytes);
        }
        snapshot.data.len() as u64
    }

    fn install_snapshot(&mut self, index: u64, index_epoch: u64) {
        let Some(snapshot) = self.follower().and_then(|follower| follower.snapshot.take()) else { return };
        if self.log.epoch_at(index) == Some(index_epoch) {
            // The log has it all: what follows in it must stay.
            self.have_matched(index);
            self.commit_to(index);
            return;
        }
        self.state.restore(&snapshot.data);
        self.lacks_history = false;
        self.log.reset(index, index_epoch);
        self.disk.truncated_from(1);
        self.disk.push(DiskRecord::Snapshot { index, epoch: index_epoch, state: snapshot.data });
        self.disk.push(DiskRecord::Epoch(self.record.clone()));
        self.committed = index;
        self.have_matched(index);
        self.outputs.push(super::ReplicaOutput::Committed { index });
    }

    /// Sends the acknowledgements that are due, of what is on disk only.
    pub(super) fn flush_as_follower(&mut self) {
        if !self.disk.is_epoch_persisted() && self.guards.persisted_before_ack {
            return;
        }
        self.acknowledge_entries();
        self.confirm_beacon();
    }

    /// How far the log is on disk, and may be acknowledged.
    fn on_disk(&self) -> u64 {
        if self.guards.persisted_before_ack { self.disk.log_persisted() } else { u64::MAX }
    }

    fn acknowledge_entries(&mut self) {
        let (epoch, on_disk) = (self.record.epoch, self.on_disk());
        let Some(follower) = self.follower() else { return };
        let index = follower.matched.min(on_disk);
        let is_complete = index == follower.matched;
        if index <= follower.acked && !(follower.wants_ack && is_complete) {
            return;
        }
        follower.acked = index;
        follower.wants_ack &= !is_complete;
        self.note_confirmation();
        self.send_to_primary(&ReplicaMessage::Appended { epoch, index });
    }

    /// From the confirmation on, this replica neither stands nor acts for the grace time.
    fn confirm_beacon(&mut self) {
        let (epoch, on_disk) = (self.record.epoch, self.on_disk());
        let Some(follower) = self.follower() else { return };
        let Some(number) = follower.unconfirmed_beacon.take() else { return };
        let matched = follower.matched;
        let persisted = matched.min(on_disk);
        let not_before = self.now + self.settings.grace;
        self.succession.quiet_until = self.succession.quiet_until.max(not_before);
        self.succession.act_not_before = not_before;
        self.note_confirmation();
        self.send_to_primary(&ReplicaMessage::BeaconAck { epoch, number, matched, persisted });
    }

    fn send_to_primary(&mut self, message: &ReplicaMessage) {
        if let Some(primary) = self.record.primary_member().cloned() {
            self.send(primary, message);
        }
    }

    pub(super) fn tick_as_follower(&mut self) {
        if self.record.epoch == 0 {
            self.tick_before_first_primary();
        } else if self.record.is_in_sync(self.me.disk) {
            self.stand_when_due();
        } else {
            self.ask_to_join_when_due();
        }
    }

    /// Asks the primary for the log; every other time all members, in case it has changed.
    fn ask_to_join_when_due(&mut self) {
        let pause = self.settings.beacon * JOIN_AFTER_BEACONS;
        let is_wanted =
            self.targets.is_empty() || self.targets.iter().any(|target| target.disk == self.me.disk);
        let now = self.now;
        let Some(follower) = self.follower() else { return };
        let is_followed = follower.heard_at.is_some_and(|heard| now.saturating_sub(heard) < pause);
        if is_followed || now < follower.join_at {
            return;
        }
        follower.join_at = now + pause;
        self.tell_replacement();
        let Some(follower) = self.follower().filter(|_| is_wanted) else { return };
        follower.join_requests += 1;
        let asks_all = follower.join_requests.is_multiple_of(2);
        self.send_join_requests(asks_all);
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
            if member.disk != self.me.disk && (asks_all || member.disk == primary) {
                self.send(member, &message);
            }
        }
    }
}

/// A primary never sends this; what it holds can't be trusted here.
fn log_conflict(index: u64) {
    log::error!("an append differs from the committed entry {index}; it is not taken");
}
