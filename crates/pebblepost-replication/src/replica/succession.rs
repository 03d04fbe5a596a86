//! Standing for primary: when the primary was silent for long enough, and at the founding.

use super::message::ReplicaMessage;
use super::{Replica, StateMachine};
use crate::record::EpochRecord;
use pebblepost_messages::{DiskId, Member};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Beacon periods between candidates, in the order of the in-sync list.
const STAGGER_BEACONS: u32 = 2;
/// Beacon periods between probes before the first primary.
const PROBE_BEACONS: u32 = 2;
/// Beacon periods for which the answer to a probe counts.
const PROBE_VALID_BEACONS: u32 = 6;

/// Beacon periods that a primary started anew waits for the other in-sync replicas to be heard.
const RESUME_BEACONS: u32 = 2;

/// When this replica may stand for primary, and when it may act as one.
#[derive(Debug)]
pub(super) struct Succession {
    /// It does not stand before: the primary it heard may act until then.
    pub(super) quiet_until: Duration,
    /// It does not act before, as primary: the one whose beacon it confirmed, maybe in a former
    /// life, may act until then.
    pub(super) act_not_before: Duration,
    /// The primary of this epoch stopped for good.
    pub(super) released_epoch: Option<u64>,
    /// A primary spoke in this life of the process.
    pub(super) heard_primary: bool,
    /// The epoch in which this replica was the acting primary before its process was started anew.
    resumed_epoch: Option<u64>,
    /// The replicas that the caller heard lately, if it says so.
    pub(super) reachable: Option<BTreeSet<DiskId>>,
    /// Founders that answered a probe, and when.
    founders: BTreeMap<DiskId, (Member, Duration)>,
    probe_at: Duration,
}

impl Succession {
    /// After a start: a former life may have confirmed a beacon just before.
    pub(super) fn new(recovered: &EpochRecord, now: Duration, grace: Duration) -> Self {
        let act_not_before = if recovered.epoch > 0 { now + grace } else { Duration::ZERO };
        Self {
            quiet_until: now + grace,
            act_not_before,
            released_epoch: None,
            heard_primary: false,
            resumed_epoch: None,
            reachable: None,
            founders: BTreeMap::new(),
            probe_at: now,
        }
    }

    /// Whether a primary of `epoch` need not fear that an older one still acts.
    pub(super) fn may_act(&self, now: Duration, epoch: u64) -> bool {
        let is_released = self.released_epoch.is_some_and(|released| released + 1 == epoch);
        is_released || now >= self.act_not_before
    }

    fn is_reachable(&self, disk: DiskId) -> bool {
        self.reachable.as_ref().is_none_or(|reachable| reachable.contains(&disk))
    }
}

impl<S: StateMachine> Replica<S> {
    /// Whether the primary of the current epoch has acted in its term: then the leases of all primaries before it
    /// have ended. The entries that it appended show it, and a replica remembers it of itself.
    fn has_primary_acted(&self) -> bool {
        let newest_sign = self.log.last_epoch().max(self.acted_in);
        let acted = self.record.epoch > 0 && newest_sign >= self.term_from;
        acted || !self.guards.ended_term_was_acted
    }

    /// After a start as the recorded primary: the former life held the only lease there was, so that nobody has to
    /// be waited for but the other replicas. Another primary may have been chosen meanwhile; then this one's
    /// epoch is refused.
    pub(super) fn resume_own_term(&mut self) {
        if !self.has_primary_acted() {
            return;
        }
        self.succession.resumed_epoch = Some(self.record.epoch);
        self.succession.act_not_before = Duration::ZERO;
        self.succession.quiet_until = self.now + self.settings.beacon * RESUME_BEACONS;
    }

    /// The primary's machine has come back with another disk: its process has ended, and its lease with it.
    pub(super) fn take_replacement(&mut self, epoch: u64, primary: DiskId) {
        let is_current = epoch == self.record.epoch && primary == self.record.primary;
        if !is_current || primary == self.me.disk || !self.has_primary_acted() {
            return;
        }
        self.succession.act_not_before = Duration::ZERO;
        self.succession.quiet_until = self.succession.quiet_until.min(self.now);
    }

    /// Tells the in-sync replicas that the recorded primary is gone, where this one has taken its place.
    pub(super) fn tell_replacement(&mut self) {
        let Some(primary) = self.record.primary_member() else { return };
        if primary.address != self.me.address || primary.disk == self.me.disk {
            return;
        }
        let message = ReplicaMessage::PrimaryReplaced { epoch: self.record.epoch, primary: primary.disk };
        let others = self.record.in_sync.iter().filter(|member| member.disk != self.record.primary);
        let others: Vec<Member> = others.cloned().collect();
        for other in others {
            self.send(other, &message);
        }
    }

    /// Stands for primary once the primary was silent for the grace time, one after the other in
    /// the order of the in-sync list.
    pub(super) fn stand_when_due(&mut self) {
        if !self.may_stand(self.rank()) {
            return;
        }
        let in_sync = self.successors_in_sync();
        self.ask_for(self.me.disk, in_sync);
    }

    /// How many others stand before this one.
    fn rank(&self) -> usize {
        if self.is_resuming() {
            return 0;
        }
        let others = self.record.in_sync.iter().filter(|member| member.disk != self.record.primary);
        let present = others.filter(|member| self.is_present(member));
        present.take_while(|member| member.disk != self.me.disk).count()
    }

    /// Whether this replica was the primary and has been started anew.
    fn is_resuming(&self) -> bool {
        self.record.primary == self.me.disk && self.succession.resumed_epoch == Some(self.record.epoch)
    }

    /// The in-sync replicas of the epoch in which this one stands: those that are present, without
    /// the former primary. Where that is not enough, more of them.
    fn successors_in_sync(&self) -> Vec<Member> {
        let is_former_primary =
            |member: &Member| member.disk == self.record.primary && member.disk != self.me.disk;
        let in_sync = self.record.in_sync.iter();
        let others: Vec<Member> = in_sync.clone().filter(|m| !is_former_primary(m)).cloned().collect();
        let present: Vec<Member> = in_sync.filter(|m| self.is_present(m)).cloned().collect();
        let present_others: Vec<Member> = present.iter().filter(|m| !is_former_primary(m)).cloned().collect();
        // A primary that was never heard may have been started anew like this replica.
        let may_be_back = !self.succession.heard_primary && self.succession.reachable.is_some();
        let choices = if may_be_back { [present, others] } else { [present_others, others] };
        let is_enough = |choice: &Vec<Member>| self.settings.tolerance.is_met_by(choice);
        choices.into_iter().find(is_enough).unwrap_or_else(|| self.record.in_sync.clone())
    }

    fn is_present(&self, member: &Member) -> bool {
        member.disk == self.me.disk || self.succession.is_reachable(member.disk)
    }

    fn may_stand(&mut self, rank: usize) -> bool {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let beacon = self.settings.beacon;
        let stagger = beacon.saturating_mul(STAGGER_BEACONS.saturating_mul(rank));
        let all_present = || self.record.in_sync.iter().all(|member| self.is_present(member));
        let may_hurry = !self.guards.grace || (self.is_resuming() && all_present());
        let quiet_until = if may_hurry { Duration::ZERO } else { self.succession.quiet_until };
        self.change.requests_in_flight == 0
            && self.now >= self.change.retry_at
            && self.now >= quiet_until + stagger
            && !self.is_unable(self.now)
            && (!self.lacks_history || !self.guards.history_before_standing)
    }

    /// Before the first primary: founders look for one another, and the first to see enough of
    /// them stands.
    pub(super) fn tick_before_first_primary(&mut self) {
        if !self.record.is_witness(self.me.disk) || self.log.last_index() > 0 {
            return;
        }
        self.probe_founders_when_due();
        let rank = self.record.witnesses.iter().take_while(|witness| witness.disk != self.me.disk).count();
        let in_sync = self.founders_present();
        if self.settings.tolerance.is_met_by(&in_sync) && self.may_stand(rank) {
            self.ask_for(self.me.disk, in_sync);
        }
    }

    fn probe_founders_when_due(&mut self) {
        if self.now < self.succession.probe_at {
            return;
        }
        self.succession.probe_at = self.now + self.settings.beacon * PROBE_BEACONS;
        let mut witnesses = self.record.witnesses.clone();
        witnesses.retain(|witness| witness.disk != self.me.disk);
        for witness in witnesses {
            self.send(witness, &ReplicaMessage::Probe);
        }
    }

    pub(super) fn take_probe_answer(&mut self, from: &Member, is_empty: bool) {
        let is_founder = self.record.epoch == 0 && self.record.is_witness(from.disk);
        if is_founder && is_empty {
            self.succession.founders.insert(from.disk, (from.clone(), self.now));
        }
    }

    /// This founder and those that answered lately.
    fn founders_present(&self) -> Vec<Member> {
        let valid = self.settings.beacon * PROBE_VALID_BEACONS;
        let answered = self.succession.founders.values();
        let present = answered.filter(|(_, at)| self.now.saturating_sub(*at) <= valid);
        let others = present.map(|(member, _)| member.clone());
        std::iter::once(self.me.clone()).chain(others).collect()
    }
}
