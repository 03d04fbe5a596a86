//! The state of a replica, and helpers that several concerns share.

use super::bootstrap_replies::BootstrapReplies;
use super::disk_record::DiskRecord;
use super::election_state::ElectionState;
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
    /// The latest time that the caller passed in.
    pub(super) now: Duration,
    pub(super) last_tick: Duration,
    /// The newest epoch record known.
    pub(super) record: EpochRecord,
    pub(super) term: TermHistory,
    /// The epoch record relies on entries that this replica may lack, so it does not campaign.
    pub(super) may_lack_entries: bool,
    pub(super) log: Log,
    /// Entries up to this index are committed and applied.
    pub(super) commit_index: u64,
    pub(super) writes: WriteQueue,
    /// The members that should hold the group; empty if there is no preference.
    pub(super) targets: Vec<Member>,
    pub(super) role: Role,
    pub(super) pending_change: PendingChange,
    pub(super) election: ElectionState,
    pub(super) bootstrap_replies: BootstrapReplies,
    pub(super) removal: RemovalState,
    pub(super) random: Random,
    pub(super) outputs: Vec<ReplicaOutput>,
}

impl<S: StateMachine> Replica<S> {
    /// Creates a replica from the records that its disk held, in the order in which they were written.
    pub fn new(
        local: Member, settings: ReplicaSettings, state_machine: S, recovered: Vec<DiskRecord>, now: Duration,
    ) -> Self {
        Self::with_guards(local, settings, state_machine, recovered, now, ReplicaGuards::default())
    }

    /// Like [`Replica::new`], with some safety rules disabled.
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
            bootstrap_replies: BootstrapReplies::new(now),
            removal: RemovalState::new(recovered.record.epoch),
            random: Random::new(local.disk.0 ^ u64::from(now.subsec_nanos())),
            outputs: Vec::new(),
            term: recovered.term,
            may_lack_entries: recovered.has_gap,
            record: recovered.record,
            log: recovered.log,
            local,
        };
        let was_primary = replica.record.epoch > 0 && replica.is_recorded_primary();
        if was_primary && !guards.requires_new_epoch_after_restart {
            replica.become_primary();
        } else if was_primary {
            replica.resume_own_term();
        }
        replica
    }

    /// Returns whether the epoch record names this replica as primary.
    pub(super) fn is_recorded_primary(&self) -> bool {
        self.record.primary == self.local.disk
    }

    /// Returns the primary's state if this replica is primary.
    pub(super) fn primary(&self) -> Option<&Primary> {
        match &self.role {
            Role::Primary(primary) => Some(primary),
            Role::Follower(_) => None,
        }
    }

    /// Returns the primary's state if this replica is primary.
    pub(super) fn primary_mut(&mut self) -> Option<&mut Primary> {
        match &mut self.role {
            Role::Primary(primary) => Some(primary),
            Role::Follower(_) => None,
        }
    }

    /// Returns the follower's state if this replica is not primary.
    pub(super) fn follower_mut(&mut self) -> Option<&mut Follower> {
        match &mut self.role {
            Role::Follower(follower) => Some(follower),
            Role::Primary(_) => None,
        }
    }

    /// Returns the progress of another replica if this one is primary and tracks it.
    pub(super) fn progress_mut(&mut self, disk: DiskId) -> Option<&mut Progress> {
        self.primary_mut()?.progress.get_mut(disk)
    }

    /// Returns whether this replica is primary and has announced the current epoch.
    pub(super) fn is_epoch_announced(&self) -> bool {
        self.primary().is_some_and(|primary| primary.is_epoch_announced)
    }

    /// Returns whether the replica on this disk should hold the group.
    pub(super) fn is_target(&self, disk: DiskId) -> bool {
        self.targets.is_empty() || contains(&self.targets, disk)
    }

    /// Sets the current time, which never decreases.
    pub(super) fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Appends an entry to the log, queues it for the disk and returns its index.
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
