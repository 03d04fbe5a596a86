//! Standing for primary: when the primary was silent for long enough, and at the founding.

use super::message::ReplicaMessage;
use super::{Replica, StateMachine};
use crate::record::EpochRecord;
use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeMap;
use std::time::Duration;

/// Beacon periods between candidates, in the order of the in-sync list.
const STAGGER_BEACONS: u32 = 2;
/// Beacon periods between probes before the first primary.
const PROBE_BEACONS: u32 = 2;
/// Beacon periods for which the answer to a probe counts.
const PROBE_VALID_BEACONS: u32 = 6;

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
            founders: BTreeMap::new(),
            probe_at: now,
        }
    }

    /// Whether a primary of `epoch` need not fear that an older one still acts.
    pub(super) fn may_act(&self, now: Duration, epoch: u64) -> bool {
        let is_released = self.released_epoch.is_some_and(|released| released + 1 == epoch);
        is_released || now >= self.act_not_before
    }
}

impl<S: StateMachine> Replica<S> {
    /// Stands for primary once the primary was silent for the grace time, one after the other in
    /// the order of the in-sync list.
    pub(super) fn stand_when_due(&mut self) {
        let others = self.record.in_sync.iter().filter(|member| member.disk != self.record.primary);
        let rank = others.take_while(|member| member.disk != self.me.disk).count();
        if !self.may_stand(rank) {
            return;
        }
        let remaining: Vec<Member> =
            self.record.in_sync.iter().filter(|m| self.outlives_primary(m)).cloned().collect();
        let is_enough = self.settings.tolerance.is_met_by(&remaining);
        let in_sync = if is_enough { remaining } else { self.record.in_sync.clone() };
        self.ask_for(self.me.disk, in_sync);
    }

    fn outlives_primary(&self, member: &Member) -> bool {
        member.disk != self.record.primary || member.disk == self.me.disk
    }

    fn may_stand(&mut self, rank: usize) -> bool {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let beacon = self.settings.beacon;
        let stagger = beacon.saturating_mul(STAGGER_BEACONS.saturating_mul(rank));
        let quiet_until = if self.guards.grace { self.succession.quiet_until } else { Duration::ZERO };
        self.change.requests_in_flight == 0
            && self.now >= self.change.retry_at
            && self.now >= quiet_until + stagger
            && !self.disk.is_hanging(self.now, self.settings.most_own_write)
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
