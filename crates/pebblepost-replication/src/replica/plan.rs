//! What the primary makes of the membership: drops, joins, exchanges, the handing over.

use super::message::ReplicaMessage;
use super::peer::Peer;
use super::{Replica, ReplicaOutput, Role, StateMachine};
use crate::record::{EpochRecord, contains};
use pebblepost_messages::{DiskId, Member};
use std::time::Duration;

/// Joiners that are silent for so many times `most_lag` are forgotten.
const FORGET_AFTER_LAGS: u32 = 3;

/// Changes of the epoch that were asked for and are not known to be decided.
#[derive(Debug, Default)]
pub(super) struct PendingChange {
    pub(super) requests_in_flight: u32,
    pub(super) retry_at: Duration,
    /// Replicas that an undecided change would add. A change that failed may still be completed
    /// by another proposer, so they count until a newer epoch is known.
    pub(super) members: Vec<Member>,
    /// An undecided change names another primary: this one acts no more in its epoch.
    pub(super) hands_over: bool,
}

impl PendingChange {
    /// A newer epoch is known.
    pub(super) fn decided(&mut self) {
        self.members.clear();
        self.hands_over = false;
    }

    /// Whether something asked for may come true and hampers this epoch meanwhile.
    fn hampers(&self) -> bool {
        self.hands_over || !self.members.is_empty()
    }
}

impl<S: StateMachine> Replica<S> {
    /// Whether a disk may hold the group.
    pub(super) fn is_wanted(&self, disk: DiskId) -> bool {
        self.targets.is_empty() || contains(&self.targets, disk)
    }

    /// Forgets joiners that went silent or are wanted no more.
    pub(super) fn forget_silent_joiners(&mut self) {
        let most = self.settings.most_lag * FORGET_AFTER_LAGS;
        let now = self.now;
        let counting: Vec<DiskId> =
            self.record.in_sync.iter().chain(&self.change.members).map(|m| m.disk).collect();
        let targets = self.targets.clone();
        let Some(primary) = self.primary() else { return };
        primary.peers.retain(|disk, peer| {
            let is_wanted = targets.is_empty() || contains(&targets, *disk);
            counting.contains(disk) || (is_wanted && now.saturating_sub(peer.answered_at) <= most)
        });
    }

    /// Targets that did not ask for the log may not know the epoch.
    pub(super) fn tell_targets_when_due(&mut self) {
        let (now, period) = (self.now, self.settings.most_lag);
        let me = self.me.disk;
        let targets = self.targets.clone();
        let Some(primary) = self.primary() else { return };
        if !primary.is_open || now < primary.tell_targets_at {
            return;
        }
        primary.tell_targets_at = now + period;
        let is_unknown = |target: &&Member| target.disk != me && !primary.peers.contains_key(&target.disk);
        let unknown: Vec<Member> = targets.iter().filter(is_unknown).cloned().collect();
        for target in unknown {
            self.tell_epoch(&target);
        }
    }

    /// Asks for the next epoch where the membership should differ.
    pub(super) fn plan_change(&mut self) {
        let is_open = matches!(&self.role, Role::Primary(primary) if primary.is_open);
        if !is_open || self.change.requests_in_flight > 0 || self.now < self.change.retry_at {
            return;
        }
        if self.is_settled() {
            return;
        }
        let in_sync = self.wanted_in_sync();
        let hands_over = !self.is_wanted(self.me.disk);
        if hands_over && self.hand_over(&in_sync) {
            return;
        }
        if !hands_over && let Some(primary) = self.primary() {
            primary.is_draining = false;
        }
        if in_sync != self.record.in_sync || self.change.hampers() {
            self.ask_for(self.me.disk, in_sync);
        }
    }

    /// Whether the membership is as it should be: the ordinary case, told cheaply.
    fn is_settled(&self) -> bool {
        let Role::Primary(primary) = &self.role else { return true };
        let is_fine = |member: &Member| self.is_wanted(member.disk) && !self.is_lagging(member.disk);
        let has_joiners = primary.peers.keys().any(|disk| !self.record.is_in_sync(*disk));
        !primary.is_draining
            && !has_joiners
            && !self.change.hampers()
            && self.record.in_sync.iter().all(is_fine)
    }

    /// The in-sync replicas as they should be; as they are where nothing better is possible.
    fn wanted_in_sync(&self) -> Vec<Member> {
        let alive = self.record.in_sync.iter().filter(|member| !self.is_lagging(member.disk));
        let alive: Vec<Member> = alive.cloned().collect();
        let is_kept = |member: &&Member| member.disk == self.me.disk || self.is_wanted(member.disk);
        let kept: Vec<Member> = alive.iter().filter(is_kept).cloned().collect();
        let ready = self.ready_joiners();
        let choices = [[kept, ready.clone()].concat(), [alive, ready].concat()];
        let is_enough = |choice: &Vec<Member>| self.settings.tolerance.is_met_by(choice);
        choices.into_iter().find(is_enough).unwrap_or_else(|| self.record.in_sync.clone())
    }

    fn is_lagging(&self, disk: DiskId) -> bool {
        let Role::Primary(primary) = &self.role else { return false };
        let (last_index, most_lag) = (self.log.last_index(), self.settings.most_lag);
        primary.peers.get(&disk).is_some_and(|peer| peer.is_lagging(self.now, last_index, most_lag))
    }

    /// Replicas that are not in sync and hold all that may have been acknowledged.
    fn ready_joiners(&self) -> Vec<Member> {
        let Role::Primary(primary) = &self.role else { return Vec::new() };
        let joiners = primary.peers.values().filter(|peer| self.is_ready(peer, primary.takeover));
        joiners.map(|peer| peer.member.clone()).collect()
    }

    fn is_ready(&self, peer: &Peer, takeover: u64) -> bool {
        let disk = peer.member.disk;
        let floor = self.committed.max(takeover);
        let holds_all = peer.confirmed.is_some_and(|confirmed| confirmed >= floor);
        !self.record.is_in_sync(disk)
            && self.is_wanted(disk)
            && !self.is_lagging(disk)
            && peer.holds_lease(self.now, self.settings.lease)
            && (holds_all || !self.guards.joiner_is_caught_up)
    }

    /// Steps towards a successor among the others: first no new entries, then the change. False
    /// where no successor can be named.
    fn hand_over(&mut self, in_sync: &[Member]) -> bool {
        let others: Vec<Member> =
            in_sync.iter().filter(|member| member.disk != self.me.disk).cloned().collect();
        let Some(successor) = self.successor_among(&others) else { return false };
        // Only who leads can promise that no older primary acts any more.
        if !self.settings.tolerance.is_met_by(&others) || !self.is_leading(self.now) {
            return false;
        }
        let (now, most_wait) = (self.now, self.settings.most_lag);
        let is_settled = self.committed == self.log.last_index();
        let Some(primary) = self.primary() else { return false };
        if !primary.is_draining {
            primary.is_draining = true;
            primary.draining_since = now;
        }
        if is_settled || now.saturating_sub(primary.draining_since) > most_wait {
            self.ask_for(successor, others);
        }
        true
    }

    /// The wanted replica that is furthest on.
    fn successor_among(&self, others: &[Member]) -> Option<DiskId> {
        let Role::Primary(primary) = &self.role else { return None };
        let wanted = others.iter().filter(|member| self.is_wanted(member.disk));
        let confirmed = |member: &&Member| primary.peers.get(&member.disk).and_then(|peer| peer.confirmed);
        wanted.max_by_key(confirmed).map(|member| member.disk)
    }

    /// Asks the configuration manager for the next epoch.
    pub(super) fn ask_for(&mut self, primary: DiskId, in_sync: Vec<Member>) {
        let expected = self.record.epoch;
        if matches!(self.role, Role::Primary(_)) {
            self.change.hands_over |= primary != self.me.disk;
            for member in &in_sync {
                if !self.record.is_in_sync(member.disk) && !contains(&self.change.members, member.disk) {
                    self.change.members.push(member.clone());
                }
            }
        }
        self.change.requests_in_flight += 1;
        let record = EpochRecord { epoch: expected + 1, primary, in_sync, ..self.record.clone() };
        self.outputs.push(ReplicaOutput::ChangeEpoch { expected, record });
    }

    pub(super) fn answer_probe(&mut self, from: &Member) {
        let is_empty = self.record.epoch == 0 && self.log.last_index() == 0;
        self.send(from.clone(), &ReplicaMessage::ProbeAnswer { is_empty });
        if self.record.epoch > 0 {
            self.tell_epoch(from);
        }
    }
}
