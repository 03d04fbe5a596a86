//! Giving a replica up: first the primary stops counting on it.
//!
//! A primary proposes a joiner on the word of its confirmations, and the configuration manager may decide that
//! proposal much later. A replica that has confirmed something in the current epoch may therefore drop its data only
//! once the primary of that epoch has answered that no undecided change names it.

use super::message::ReplicaMessage;
use super::{Replica, Role, StateMachine};
use crate::record::contains;
use pebblepost_messages::Member;
use std::time::Duration;

/// Beacon periods between two requests.
const ASK_AGAIN_BEACONS: u32 = 10;

/// The request of a replica that is to be given up.
#[derive(Debug, Default)]
pub(super) struct LeaveRequest {
    last_number: u64,
    /// Number of the newest request, if nothing was confirmed since.
    open: Option<u64>,
    ask_at: Duration,
}

impl<S: StateMachine> Replica<S> {
    /// Newest epoch in which this replica may have confirmed that it holds something. Only a change that builds on
    /// this epoch or an earlier one can count on what it holds, unless the record names it.
    pub fn confirmed_epoch(&self) -> u64 {
        self.confirmed_in
    }

    /// Asks the primary to count on this replica no more; [`Self::confirmed_epoch`] falls below the current epoch
    /// once it has agreed. To be repeated until then.
    pub fn ask_to_leave(&mut self, now: Duration) {
        self.advance(now);
        if self.now < self.leave_request.ask_at || self.record.is_in_sync(self.me.disk) {
            return;
        }
        let Some(primary) = self.record.primary_member().cloned() else { return };
        let request = &mut self.leave_request;
        request.ask_at = self.now + self.settings.beacon * ASK_AGAIN_BEACONS;
        request.last_number += 1;
        request.open = Some(request.last_number);
        let message = ReplicaMessage::LeaveRequest { epoch: self.record.epoch, number: request.last_number };
        self.send(primary, &message);
    }

    /// Something is about to be confirmed to the primary.
    pub(super) fn note_confirmation(&mut self) {
        self.confirmed_in = self.record.epoch;
        self.leave_request.open = None;
    }

    /// A replica wants to be given up. It is forgotten, unless the record or an undecided change names it.
    pub(super) fn take_leave_request(&mut self, from: &Member, epoch: u64, number: u64) {
        let is_named = self.record.is_in_sync(from.disk) || contains(&self.change.members, from.disk);
        if epoch != self.record.epoch || is_named {
            return;
        }
        let Role::Primary(primary) = &mut self.role else { return };
        primary.peers.remove(&from.disk);
        self.send(from.clone(), &ReplicaMessage::LeaveGranted { epoch, number });
    }

    /// The primary counts on this replica no more.
    pub(super) fn take_leave_grant(&mut self, epoch: u64, number: u64) {
        if epoch == self.record.epoch && self.leave_request.open == Some(number) {
            self.confirmed_in = epoch.saturating_sub(1);
        }
    }
}
