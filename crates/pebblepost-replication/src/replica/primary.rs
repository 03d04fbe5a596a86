//! The primary: sends entries and beacons, commits, holds its lease.

use super::log::LogEntry;
use super::message::{MOST_PAYLOAD, ReplicaMessage};
use super::peer::{OutgoingSnapshot, Peer};
use super::{DiskRecord, Replica, ReplicaOutput, Role, StateMachine};
use crate::codec::{Blob, Sequence};
use crate::record::{EpochRecord, contains};
use pebblepost_messages::{DiskId, Member};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Beacons whose sending time is remembered.
const MOST_BEACONS: usize = 64;

/// State of a primary.
#[derive(Debug)]
pub(super) struct Primary {
    /// End of the log at the takeover: all of it may have been acknowledged by a predecessor.
    pub(super) takeover: u64,
    /// The epoch record is on disk, and the epoch announced.
    pub(super) is_open: bool,
    /// The first epoch of this term was open once; beacons and proposals were possible.
    pub(super) was_open: bool,
    /// [`ReplicaOutput::BecamePrimary`] was given out.
    pub(super) is_announced: bool,
    /// No new entries: the role is about to be handed over.
    pub(super) is_draining: bool,
    pub(super) draining_since: Duration,
    pub(super) peers: BTreeMap<DiskId, Peer>,
    /// Who else is told of the epoch when it opens.
    pub(super) to_tell: Vec<Member>,
    pub(super) tell_targets_at: Duration,
    beacon_at: Duration,
    beacon_number: u64,
    beacons: VecDeque<(u64, Duration)>,
}

impl Primary {
    pub(super) fn forgive_lag(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            peer.answered_at = now;
            peer.waiting_since = now;
        }
    }

    fn beacon_sent_at(&self, number: u64) -> Option<Duration> {
        self.beacons.iter().find(|beacon| beacon.0 == number).map(|beacon| beacon.1)
    }
}

impl<S: StateMachine> Replica<S> {
    pub(super) fn primary(&mut self) -> Option<&mut Primary> {
        match &mut self.role {
            Role::Primary(primary) => Some(primary),
            Role::Follower(_) => None,
        }
    }

    fn peer(&mut self, disk: DiskId) -> Option<&mut Peer> {
        self.primary()?.peers.get_mut(&disk)
    }

    /// Starts a term as primary of the current epoch.
    pub(super) fn become_primary(&mut self) {
        self.role = Role::Primary(Box::new(Primary {
            takeover: self.log.last_index(),
            is_open: false,
            was_open: false,
            is_announced: false,
            is_draining: false,
            draining_since: self.now,
            peers: BTreeMap::new(),
            to_tell: Vec::new(),
            tell_targets_at: self.now,
            beacon_at: self.now,
            beacon_number: 0,
            beacons: VecDeque::new(),
        }));
        self.add_in_sync_peers();
    }

    /// Goes on as primary of the next epoch: the log is the same, so what is confirmed stays so.
    pub(super) fn continue_as_primary(&mut self, former: &EpochRecord) {
        let last_index = self.log.last_index();
        let epoch = self.record.epoch;
        let in_sync = self.record.in_sync.clone();
        let Some(primary) = self.primary() else { return };
        let has_acted = primary.is_announced;
        primary.is_open = false;
        primary.is_draining = false;
        primary.to_tell = former.in_sync.clone();
        for peer in primary.peers.values_mut() {
            peer.start_epoch(last_index);
            if !contains(&in_sync, peer.member.disk) {
                // It is added on what it confirms in this epoch only: see `confirmed_epoch`.
                peer.lease_from = None;
            }
        }
        self.add_in_sync_peers();
        if has_acted {
            self.remember_acting(epoch);
        }
    }

    /// A later life of this replica must know that it acted.
    fn remember_acting(&mut self, epoch: u64) {
        self.acted_in = epoch;
        self.disk.push(DiskRecord::Acted { epoch });
    }

    /// Ends the term, if there was one; the successor learns that this replica acts no more.
    pub(super) fn stop_as_primary(&mut self, former: &EpochRecord) {
        let Some(primary) = self.primary() else { return };
        if !primary.is_announced {
            return;
        }
        self.outputs.push(ReplicaOutput::Stopped);
        if let Some(successor) = self.record.primary_member().cloned() {
            self.send(successor, &ReplicaMessage::Released { epoch: former.epoch });
        }
    }

    fn add_in_sync_peers(&mut self) {
        let members = self.record.in_sync.clone();
        for member in members {
            self.add_peer(member, self.log.last_index() + 1);
        }
    }

    fn add_peer(&mut self, member: Member, next: u64) {
        let now = self.now;
        if member.disk == self.me.disk {
            return;
        }
        if let Some(primary) = self.primary() {
            primary.peers.entry(member.disk).or_insert_with(|| Peer::new(member, next, now));
        }
    }

    pub(super) fn append_as_primary(&mut self, entry: Vec<u8>) -> u64 {
        let (now, last_index) = (self.now, self.log.last_index());
        if let Some(primary) = self.primary() {
            let idle = primary.peers.values_mut().filter(|peer| peer.confirmed == Some(last_index));
            idle.for_each(|peer| peer.waiting_since = now);
        }
        self.append_to_log(LogEntry { epoch: self.record.epoch, data: Blob(entry) })
    }

    /// All whose disks count: the in-sync replicas, and those of a change that is undecided.
    pub(super) fn counting_members(&self) -> impl Iterator<Item = &Member> {
        let undecided = self.change.members.iter().filter(|_| self.guards.joiner_waits);
        self.record.in_sync.iter().chain(undecided).filter(|member| member.disk != self.me.disk)
    }

    /// How far the slowest in-sync replica holds the log; a follower knows of itself only.
    pub(super) fn slowest_in_sync(&self) -> u64 {
        let Role::Primary(primary) = &self.role else { return self.disk.log_persisted() };
        let confirmed = |member: &Member| primary.peers.get(&member.disk).and_then(|peer| peer.confirmed);
        let others = self.counting_members().map(|member| confirmed(member).unwrap_or(0));
        others.min().unwrap_or(u64::MAX).min(self.disk.log_persisted())
    }

    /// Commits what every counting replica has on disk, this one included.
    pub(super) fn commit_as_primary(&mut self) {
        let is_possible = matches!(&self.role, Role::Primary(primary) if primary.was_open)
            && self.settings.tolerance.is_met_by(&self.record.in_sync);
        if !is_possible {
            return;
        }
        let index = if self.guards.commit_waits_for_all {
            self.slowest_in_sync()
        } else {
            self.fastest_in_sync().min(self.disk.log_persisted())
        };
        self.commit_to(index);
    }

    /// Only for tests of the guard: the fastest other replica is enough.
    fn fastest_in_sync(&self) -> u64 {
        let Role::Primary(primary) = &self.role else { return 0 };
        let confirmed = |member: &Member| primary.peers.get(&member.disk).and_then(|peer| peer.confirmed);
        self.counting_members().filter_map(confirmed).max().unwrap_or(0)
    }

    /// Whether this replica leads: it took over everything, and every counting replica granted
    /// it a lease that runs.
    pub(super) fn is_leading(&self, now: Duration) -> bool {
        let Role::Primary(primary) = &self.role else { return false };
        let lease = self.settings.lease;
        let granted = |member: &Member| {
            primary.peers.get(&member.disk).is_some_and(|peer| peer.holds_lease(now, lease))
        };
        primary.was_open
            && self.committed >= primary.takeover
            && self.settings.tolerance.is_met_by(&self.record.in_sync)
            && !self.is_unable(now)
            && (!self.guards.grace || self.succession.may_act(now, self.record.epoch))
            && (!self.guards.lease || self.counting_members().all(granted))
    }

    pub(super) fn take_appended(&mut self, from: DiskId, index: u64) {
        let now = self.now;
        if index > self.log.last_index() {
            return;
        }
        let Some(peer) = self.peer(from) else { return };
        peer.confirm(index, now);
        self.commit_as_primary();
    }

    /// Makes up for a lost acknowledgement.
    pub(super) fn take_repeated_ack(&mut self, from: DiskId, index: u64) {
        let is_news = self.peer(from).is_some_and(|peer| index > peer.confirmed.unwrap_or(0));
        if is_news {
            self.take_appended(from, index);
        }
    }

    pub(super) fn take_rejection(
        &mut self, from: DiskId, previous_index: u64, hint_index: u64, hint_epoch: u64,
    ) {
        let agreed = self.log.newest_at_most(hint_index, hint_epoch);
        let Some(peer) = self.peer(from) else { return };
        let is_old = peer.is_probing && previous_index + 1 != peer.next;
        if is_old || peer.snapshot.is_some() {
            return;
        }
        match agreed.max(peer.confirmed) {
            Some(index) => peer.probe_from(index + 1),
            None => self.start_snapshot(from),
        }
    }

    /// Renews the lease; finds out by the way which appends were lost.
    pub(super) fn take_beacon_ack(&mut self, from: DiskId, number: u64, matched: u64) {
        let now = self.now;
        let Some(primary) = self.primary() else { return };
        let Some(sent_at) = primary.beacon_sent_at(number) else { return };
        let Some(peer) = primary.peers.get_mut(&from) else { return };
        peer.lease_from = peer.lease_from.max(Some(sent_at));
        peer.answered_at = now;
        peer.find_lost(number, matched);
    }

    pub(super) fn take_snapshot_received(&mut self, from: DiskId, index: u64, offset: u64) {
        let Some(peer) = self.peer(from) else { return };
        let Some(snapshot) = peer.snapshot.as_mut().filter(|snapshot| snapshot.index == index) else {
            return;
        };
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        if offset < snapshot.data.len() {
            snapshot.offset = offset;
            peer.is_probe_due = true;
        } else {
            peer.snapshot = None;
            peer.probe_from(index + 1);
        }
    }

    /// A replica that is not in sync wants the log.
    pub(super) fn take_join_request(&mut self, from: &Member, epoch: u64, last_index: u64, last_epoch: u64) {
        if epoch < self.record.epoch {
            self.tell_epoch(from);
        }
        let is_open = matches!(&self.role, Role::Primary(primary) if primary.is_open);
        if !is_open || epoch > self.record.epoch || !self.is_wanted(from.disk) {
            return;
        }
        let agreed = self.log.newest_at_most(last_index, last_epoch);
        self.add_peer(from.clone(), agreed.unwrap_or(0) + 1);
        match (agreed, self.peer(from.disk)) {
            (Some(index), Some(peer)) if peer.snapshot.is_none() => peer.probe_from(index + 1),
            (None, Some(_)) => self.start_snapshot(from.disk),
            _ => {}
        }
    }

    fn start_snapshot(&mut self, disk: DiskId) {
        let index = self.committed;
        let index_epoch = self.log.epoch_at(index).unwrap_or(0);
        let data = self.state.snapshot();
        let Some(peer) = self.peer(disk) else { return };
        peer.snapshot = Some(OutgoingSnapshot { index, index_epoch, data, offset: 0 });
        peer.is_probing = true;
        peer.is_probe_due = true;
        peer.in_flight.clear();
    }

    pub(super) fn answer_epoch_request(&mut self, from: &Member, epoch: u64) {
        if epoch >= self.record.epoch {
            return;
        }
        self.tell_epoch(from);
        if self.primary().is_some_and(|primary| primary.is_open) {
            self.send_beacon_to(from.disk);
        }
        if let Some(peer) = self.peer(from.disk) {
            peer.is_probe_due = true;
        }
    }

    pub(super) fn tick_as_primary(&mut self) {
        if self.is_unable(self.now) {
            return;
        }
        self.send_beacons_when_due();
        self.forget_silent_joiners();
        self.tell_targets_when_due();
        self.plan_change();
    }

    fn send_beacons_when_due(&mut self) {
        let (now, period) = (self.now, self.settings.beacon);
        let Some(primary) = self.primary() else { return };
        if !primary.is_open || now < primary.beacon_at {
            return;
        }
        primary.beacon_at = now + period;
        primary.beacon_number += 1;
        primary.beacons.push_back((primary.beacon_number, now));
        if primary.beacons.len() > MOST_BEACONS {
            primary.beacons.pop_front();
        }
        let disks: Vec<DiskId> = primary.peers.keys().copied().collect();
        for disk in disks {
            self.send_beacon_to(disk);
        }
    }

    fn send_beacon_to(&mut self, disk: DiskId) {
        let (epoch, committed) = (self.record.epoch, self.committed);
        let Some(primary) = self.primary() else { return };
        let number = primary.beacon_number;
        let Some(peer) = primary.peers.get_mut(&disk) else { return };
        peer.mark(number);
        let member = peer.member.clone();
        self.send(member, &ReplicaMessage::Beacon { epoch, number, committed });
    }

    /// Opens the epoch once its record is on disk, and sends what is due. Says nothing while it is
    /// unable to lead.
    pub(super) fn flush_as_primary(&mut self) {
        self.open_epoch();
        let is_open = matches!(&self.role, Role::Primary(primary) if primary.is_open);
        if is_open && !self.is_unable(self.now) {
            let last_index = self.log.last_index();
            let Some(primary) = self.primary() else { return };
            let due = primary.peers.iter().filter(|(_, peer)| peer.has_something_due(last_index));
            let due: Vec<DiskId> = due.map(|(disk, _)| *disk).collect();
            for disk in due {
                self.flush_peer(disk);
            }
        }
        self.announce_when_acting();
    }

    /// Nothing is said in an epoch before its record is on disk: a later life of this replica
    /// must know that the epoch is used up.
    fn open_epoch(&mut self) {
        if !self.disk.is_epoch_persisted() && self.guards.new_life_new_epoch {
            return;
        }
        let now = self.now;
        if !matches!(&self.role, Role::Primary(primary) if !primary.is_open) {
            return;
        }
        // Who was dropped by this epoch is told of it, and sent nothing that it would confirm.
        self.forget_silent_joiners();
        let Some(primary) = self.primary() else { return };
        primary.is_open = true;
        primary.was_open = true;
        primary.beacon_at = now;
        let mut receivers = std::mem::take(&mut primary.to_tell);
        receivers.extend(primary.peers.values().map(|peer| peer.member.clone()));
        receivers.sort();
        receivers.dedup();
        receivers.retain(|member| member.disk != self.me.disk);
        for member in &receivers {
            self.tell_epoch(member);
        }
        self.send_beacons_when_due();
        self.commit_as_primary();
    }

    fn announce_when_acting(&mut self) {
        if !self.is_acting(self.now) {
            return;
        }
        let epoch = self.record.epoch;
        let Some(primary) = self.primary().filter(|primary| !primary.is_announced) else { return };
        primary.is_announced = true;
        self.outputs.push(ReplicaOutput::BecamePrimary { epoch });
        self.remember_acting(epoch);
    }

    fn flush_peer(&mut self, disk: DiskId) {
        let base_index = self.log.base_index();
        let Some(peer) = self.peer(disk) else { return };
        if peer.snapshot.is_none() && peer.next <= base_index {
            self.start_snapshot(disk);
        }
        let Some(peer) = self.peer(disk) else { return };
        if peer.snapshot.is_some() {
            self.flush_snapshot(disk);
        } else if peer.is_probing {
            if std::mem::take(&mut peer.is_probe_due) {
                self.send_append(disk);
            }
        } else {
            self.flush_entries(disk);
        }
    }

    fn flush_entries(&mut self, disk: DiskId) {
        loop {
            let last_index = self.log.last_index();
            let Some(peer) = self.peer(disk) else { return };
            if peer.next > last_index || !peer.has_window() {
                return;
            }
            let sent_to = self.send_append(disk);
            let Some(peer) = self.peer(disk) else { return };
            peer.next = sent_to + 1;
            peer.in_flight.push_back(sent_to);
        }
    }

    /// Sends entries from the peer's next one on, as many as fit; the index of the last.
    fn send_append(&mut self, disk: DiskId) -> u64 {
        let Some(peer) = self.peer(disk) else { return 0 };
        let (member, previous_index) = (peer.member.clone(), peer.next - 1);
        let mut bytes = 0;
        let mut entries = Vec::new();
        for (_, entry) in self.log.entries_from(previous_index + 1) {
            bytes += entry.data.0.len();
            if bytes > MOST_PAYLOAD && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        let sent_to = previous_index + entries.len() as u64;
        let append = ReplicaMessage::Append {
            epoch: self.record.epoch,
            previous_index,
            previous_epoch: self.log.epoch_at(previous_index).unwrap_or(0),
            committed: self.committed,
            entries: Sequence(entries),
        };
        self.send(member, &append);
        sent_to
    }

    fn flush_snapshot(&mut self, disk: DiskId) {
        let epoch = self.record.epoch;
        let Some(peer) = self.peer(disk) else { return };
        if !std::mem::take(&mut peer.is_probe_due) {
            return;
        }
        let Some(snapshot) = &peer.snapshot else { return };
        let part = ReplicaMessage::SnapshotPart {
            epoch,
            index: snapshot.index,
            index_epoch: snapshot.index_epoch,
            total: snapshot.data.len() as u64,
            offset: snapshot.offset as u64,
            bytes: Blob(snapshot.part().to_vec()),
        };
        let member = peer.member.clone();
        self.send(member, &part);
    }
}
