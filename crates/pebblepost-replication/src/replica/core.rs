//! The replica's state, and the steps that all its concerns share.

use super::disk_record::DiskRecord;
use super::election_state::ElectionState;
use super::founders::Founders;
use super::log::{Log, LogEntry};
use super::message::ReplicaMessage;
use super::output::ReplicaOutput;
use super::pending_change::PendingChange;
use super::progress::Progress;
use super::recovery::recover;
use super::removal_state::RemovalState;
use super::role::{Follower, Primary, Role};
use super::settings::ReplicaSettings;
use super::state_machine::StateMachine;
use super::term_history::TermHistory;
use super::write_queue::WriteQueue;
use crate::guards::ReplicaGuards;
use crate::random::Random;
use crate::record::{EpochRecord, contains};
use nanoserde::SerBin;
use pebblepost_messages::{DiskId, Member};
use std::time::Duration;

/// A replica of a group, without I/O or clock.
#[derive(Debug)]
pub struct Replica<S> {
    pub(super) local: Member,
    pub(super) settings: ReplicaSettings,
    pub(super) guards: ReplicaGuards,
    pub(super) state_machine: S,
    /// The newest time that the caller gave.
    pub(super) now: Duration,
    pub(super) last_tick: Duration,
    /// Newest epoch record known.
    pub(super) record: EpochRecord,
    pub(super) term: TermHistory,
    /// The record counts on entries that this replica may not hold: it does not stand for election.
    pub(super) is_log_incomplete: bool,
    pub(super) log: Log,
    /// Entries up to here are committed and applied.
    pub(super) commit_index: u64,
    pub(super) writes: WriteQueue,
    /// The machines that should hold the group; empty: no preference.
    pub(super) targets: Vec<Member>,
    pub(super) role: Role,
    pub(super) pending_change: PendingChange,
    pub(super) election: ElectionState,
    pub(super) founders: Founders,
    pub(super) removal: RemovalState,
    pub(super) random: Random,
    pub(super) outputs: Vec<ReplicaOutput>,
}

impl<S: StateMachine> Replica<S> {
    /// A replica with what its disk held (records in the order written).
    pub fn new(
        local: Member, settings: ReplicaSettings, state_machine: S, recovered: Vec<DiskRecord>, now: Duration,
    ) -> Self {
        Self::with_guards(local, settings, state_machine, recovered, now, ReplicaGuards::default())
    }

    /// As [`Replica::new`], with guards taken out.
    #[doc(hidden)]
    pub fn with_guards(
        local: Member, settings: ReplicaSettings, mut state_machine: S, recovered: Vec<DiskRecord>,
        now: Duration, guards: ReplicaGuards,
    ) -> Self {
        let recovered = recover(recovered, &mut state_machine);
        let mut replica = Self {
            settings,
            guards,
            state_machine,
            now,
            last_tick: now,
            commit_index: recovered.applied_index,
            writes: WriteQueue::new(recovered.log.last_index()),
            targets: Vec::new(),
            role: Role::Follower(Follower::default()),
            pending_change: PendingChange::default(),
            election: ElectionState::new(recovered.record.epoch, now, settings.election_timeout),
            founders: Founders::new(now),
            removal: RemovalState::new(recovered.record.epoch),
            random: Random::new(local.disk.0 ^ u64::from(now.subsec_nanos())),
            outputs: Vec::new(),
            term: recovered.term,
            is_log_incomplete: recovered.has_gap,
            record: recovered.record,
            log: recovered.log,
            local,
        };
        let was_primary = replica.record.epoch > 0 && replica.is_recorded_primary();
        if was_primary && !guards.new_epoch_after_restart {
            replica.become_primary();
        } else if was_primary {
            replica.resume_own_term();
        }
        replica
    }

    /// Whether the epoch record names this replica as primary.
    pub(super) fn is_recorded_primary(&self) -> bool {
        self.record.primary == self.local.disk
    }

    /// The primary's state, where this replica is primary.
    pub(super) fn primary(&self) -> Option<&Primary> {
        match &self.role {
            Role::Primary(primary) => Some(primary),
            Role::Follower(_) => None,
        }
    }

    /// The primary's state, where this replica is primary.
    pub(super) fn primary_mut(&mut self) -> Option<&mut Primary> {
        match &mut self.role {
            Role::Primary(primary) => Some(primary),
            Role::Follower(_) => None,
        }
    }

    /// The follower's state, where this replica is not primary.
    pub(super) fn follower_mut(&mut self) -> Option<&mut Follower> {
        match &mut self.role {
            Role::Follower(follower) => Some(follower),
            Role::Primary(_) => None,
        }
    }

    /// The progress of another replica, where this one is primary and sends to it.
    pub(super) fn progress_mut(&mut self, disk: DiskId) -> Option<&mut Progress> {
        self.primary_mut()?.progress.get_mut(disk)
    }

    /// Whether this replica is primary, and the current epoch is announced.
    pub(super) fn is_epoch_open(&self) -> bool {
        self.primary().is_some_and(|primary| primary.is_epoch_open)
    }

    /// Whether a disk should hold the group.
    pub(super) fn is_target(&self, disk: DiskId) -> bool {
        self.targets.is_empty() || contains(&self.targets, disk)
    }

    /// Takes note of the time; it never goes back.
    pub(super) fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Appends an entry to the log and queues it for the disk; its index.
    pub(super) fn append_to_log(&mut self, entry: LogEntry) -> u64 {
        let index = self.log.push(entry);
        if let Some(entry) = self.log.entry(index) {
            self.writes.push(DiskRecord::entry(index, entry));
        }
        index
    }

    pub(super) fn send(&mut self, to: Member, message: &ReplicaMessage) {
        self.outputs.push(ReplicaOutput::Send { to, message: message.serialize_bin() });
    }

    pub(super) fn send_to_primary(&mut self, message: &ReplicaMessage) {
        if let Some(primary) = self.record.primary_member().cloned() {
            self.send(primary, message);
        }
    }
}
