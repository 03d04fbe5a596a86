//! A replica of a group: its log, its role, its lease.
//!
//! Primary-backup replication: an entry is committed once every in-sync replica of the current
//! epoch has it on disk; the primary acts while all of them confirm its beacons. Times are the
//! caller's steady clock.

mod disk;
mod epochs;
mod follower;
mod leave;
mod log;
mod message;
mod peer;
mod plan;
mod primary;
mod receiving;
mod recovery;
mod succession;

use crate::codec::{Blob, decode};
use crate::guards::ReplicaGuards;
use crate::random::Random;
use crate::record::{EpochRecord, Tolerance};
use disk::DiskQueue;
use follower::Follower;
use leave::LeaveRequest;
use log::{Log, LogEntry};
use message::ReplicaMessage;
use nanoserde::{DeBin, SerBin};
use pebblepost_messages::{DiskId, Member};
use plan::PendingChange;
use primary::Primary;
use std::collections::BTreeSet;
use std::time::Duration;
use succession::Succession;

/// The replicated application: deterministic, changed by entries only.
pub trait StateMachine {
    /// Applies a committed entry.
    fn apply(&mut self, index: u64, entry: &[u8]);
    /// The whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by a snapshot.
    fn restore(&mut self, snapshot: &[u8]);
    /// Whether an entry or a snapshot could not be read: the state may lack something, and the replica neither
    /// stands for primary nor acts.
    fn is_damaged(&self) -> bool {
        false
    }
}

/// A record for the disk. The caller writes them in order; all of a group's records together,
/// read back in order, make [`Recovered`].
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum DiskRecord {
    /// An entry. It replaces entries at this index and above.
    Entry {
        /// Index, from 1.
        index: u64,
        /// Epoch in which it was first appended.
        epoch: u64,
        /// The entry.
        entry: Vec<u8>,
    },
    /// The state up to an index; replaces all entries before.
    Snapshot {
        /// Index of the last entry in it.
        index: u64,
        /// Epoch of that entry.
        epoch: u64,
        /// The state.
        state: Vec<u8>,
    },
    /// Newest epoch record that this replica acts by; it takes nothing from an older epoch.
    Epoch(EpochRecord),
    /// This replica has acted as primary of an epoch.
    Acted {
        /// The epoch.
        epoch: u64,
    },
}

/// Timing and limits of a group.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// What must be borne.
    pub tolerance: Tolerance,
    /// How often the primary sends beacons.
    pub beacon: Duration,
    /// How long a confirmed beacon lets the primary act.
    pub lease: Duration,
    /// How long a replica waits after a beacon before it stands for primary; more than `lease`.
    pub grace: Duration,
    /// A replica that has not confirmed an entry for so long is dropped.
    pub most_lag: Duration,
    /// A primary whose own disk has not completed a write for so long stops.
    pub most_own_write: Duration,
    /// Bytes of entries kept in memory to bring replicas up without a snapshot.
    pub kept_bytes: usize,
}

/// Something the caller must do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaOutput {
    /// Send a message to another replica.
    Send {
        /// Receiver.
        to: Member,
        /// Encoded message.
        message: Vec<u8>,
    },
    /// Append records to disk, then call [`Replica::persisted`] with the token.
    Persist {
        /// Comes back; rises.
        token: u64,
        /// The records.
        records: Vec<DiskRecord>,
    },
    /// Ask the configuration manager for `record` to follow epoch `expected`; answer with
    /// [`Replica::configure`] (whatever holds now) and then [`Replica::change_ended`].
    ChangeEpoch {
        /// Epoch that it builds on.
        expected: u64,
        /// The wanted record.
        record: EpochRecord,
    },
    /// Entries up to this index are committed and applied here.
    Committed {
        /// Index.
        index: u64,
    },
    /// This replica is primary, everything of earlier epochs is committed: it may act. Not
    /// repeated when the same replica goes on as primary of the next epoch.
    BecamePrimary {
        /// The epoch.
        epoch: u64,
    },
    /// This replica is no primary any more; what it proposed and is not committed is undecided.
    Stopped,
}

/// Why an entry was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// Not the primary, or its lease has ended.
    NotPrimary,
    /// Too few in-sync replicas to acknowledge anything now.
    TooFewReplicas,
}

/// What a replica does in the current epoch.
#[derive(Debug)]
enum Role {
    Follower(Follower),
    Primary(Box<Primary>),
}

/// A replica.
#[derive(Debug)]
pub struct Replica<S> {
    me: Member,
    settings: ReplicaSettings,
    guards: ReplicaGuards,
    state: S,
    /// The newest time that the caller gave.
    now: Duration,
    last_tick: Duration,
    record: EpochRecord,
    /// First epoch of the unbroken term of the record's primary, as far as this replica knows.
    term_from: u64,
    /// Newest epoch in which this replica itself acted as primary; 0 if none is known.
    acted_in: u64,
    /// Newest epoch in which this replica confirmed a beacon or an entry, in a former life too.
    confirmed_in: u64,
    leave_request: LeaveRequest,
    /// The record counts on entries that this replica may not hold: it does not stand for primary.
    lacks_history: bool,
    log: Log,
    /// Entries up to here are committed and applied.
    committed: u64,
    disk: DiskQueue,
    targets: Vec<Member>,
    role: Role,
    change: PendingChange,
    succession: Succession,
    random: Random,
    outputs: Vec<ReplicaOutput>,
}

impl<S: StateMachine> Replica<S> {
    /// A replica with what its disk held (records in the order written).
    pub fn new(
        me: Member, settings: ReplicaSettings, state: S, recovered: Vec<DiskRecord>, now: Duration,
    ) -> Self {
        Self::with_guards(me, settings, state, recovered, now, ReplicaGuards::default())
    }

    /// As [`Replica::new`], with guards taken out.
    #[doc(hidden)]
    pub fn with_guards(
        me: Member, settings: ReplicaSettings, mut state: S, recovered: Vec<DiskRecord>, now: Duration,
        guards: ReplicaGuards,
    ) -> Self {
        let recovered = recovery::recover(recovered, &mut state);
        let mut replica = Self {
            settings,
            guards,
            state,
            now,
            last_tick: now,
            committed: recovered.applied,
            disk: DiskQueue::new(recovered.log.last_index()),
            targets: Vec::new(),
            role: Role::Follower(Follower::default()),
            change: PendingChange::default(),
            succession: Succession::new(&recovered.record, now, settings.grace),
            random: Random::new(me.disk.0 ^ now.subsec_nanos() as u64),
            outputs: Vec::new(),
            term_from: recovered.term_from,
            acted_in: recovered.acted_in,
            confirmed_in: recovered.record.epoch,
            leave_request: LeaveRequest::default(),
            lacks_history: recovered.has_gap,
            record: recovered.record,
            log: recovered.log,
            me,
        };
        let was_primary = replica.record.epoch > 0 && replica.record.primary == replica.me.disk;
        if was_primary && !guards.new_life_new_epoch {
            replica.become_primary();
        } else if was_primary {
            replica.resume_own_term();
        }
        replica
    }

    /// The epoch record in force, from the configuration manager; older ones are ignored.
    pub fn configure(&mut self, now: Duration, record: &EpochRecord) {
        self.advance(now);
        if record.epoch > self.record.epoch {
            self.enter_epoch(record.clone());
        } else if self.record.epoch == 0 && self.record.witnesses.is_empty() {
            self.record = record.clone();
        }
    }

    /// The machines that should hold the group (the primary adds and drops towards it). Empty:
    /// whoever is in sync stays, and whoever asks to join is added.
    pub fn set_targets(&mut self, now: Duration, targets: Vec<Member>) {
        self.advance(now);
        self.targets = targets;
    }

    /// The replicas that the caller heard lately. A replica that stands for primary leaves out the others, if
    /// enough remain; without this it leaves out the former primary only.
    pub fn set_reachable(&mut self, disks: BTreeSet<DiskId>) {
        self.succession.reachable = Some(disks);
    }

    /// Tells a replica that has just connected the newest epoch known here.
    pub fn introduce(&mut self, to: &Member) {
        if self.record.epoch > 0 {
            self.tell_epoch(to);
        }
    }

    /// An asked-for change of the epoch has ended, with or without success.
    pub fn change_ended(&mut self, now: Duration) {
        self.advance(now);
        self.change.requests_in_flight = self.change.requests_in_flight.saturating_sub(1);
        let pause = self.settings.beacon + self.random.duration_below(self.settings.beacon * 2);
        self.change.retry_at = now + pause;
    }

    /// Appends an entry; its index. Committed later.
    pub fn propose(&mut self, now: Duration, entry: Vec<u8>) -> Result<u64, ProposeError> {
        self.advance(now);
        let is_primary = matches!(self.role, Role::Primary(_));
        if is_primary && !self.settings.tolerance.is_met_by(&self.record.in_sync) {
            return Err(ProposeError::TooFewReplicas);
        }
        if !self.is_acting(now) {
            return Err(ProposeError::NotPrimary);
        }
        Ok(self.append_as_primary(entry))
    }

    /// A message arrived. What can't be read is dropped.
    pub fn receive(&mut self, now: Duration, from: &Member, message: &[u8]) {
        self.advance(now);
        if let Some(message) = decode::<ReplicaMessage>(message) {
            self.handle(from, message);
        }
    }

    /// All up to this token is on disk.
    pub fn persisted(&mut self, now: Duration, token: u64) {
        self.advance(now);
        self.disk.complete(token);
        self.commit_as_primary();
    }

    /// Time passed. To be called every 50 ms or so.
    pub fn tick(&mut self, now: Duration) {
        self.advance(now);
        self.forgive_own_stall();
        self.last_tick = now;
        match self.role {
            Role::Primary(_) => self.tick_as_primary(),
            Role::Follower(_) => self.tick_as_follower(),
        }
    }

    /// Whether this replica is primary, has committed everything of earlier epochs and holds its
    /// lease: it may propose, and answer reads.
    pub fn is_acting(&self, now: Duration) -> bool {
        let Role::Primary(primary) = &self.role else { return false };
        !primary.is_draining && !self.change.hands_over && self.is_leading(now)
    }

    /// The application's state, committed entries only.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Newest epoch record known.
    pub fn record(&self) -> &EpochRecord {
        &self.record
    }

    /// Index of the newest committed entry.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// How far each known replica holds the log on disk, for displays.
    pub fn progress(&self) -> Vec<(DiskId, u64)> {
        let mut progress = vec![(self.me.disk, self.disk.log_persisted())];
        if let Role::Primary(primary) = &self.role {
            let peers = primary.peers.iter();
            progress.extend(peers.map(|(disk, peer)| (*disk, peer.confirmed.unwrap_or(0))));
        }
        progress
    }

    /// Records that say all that the disk has to hold now (a snapshot at the committed index, the
    /// entries after it, the epoch), for compaction. `None`: the state is damaged, and what the disk holds is the
    /// only copy that can still be read by another program.
    pub fn checkpoint(&self) -> Option<Vec<DiskRecord>> {
        if self.state.is_damaged() {
            return None;
        }
        let epoch = self.log.epoch_at(self.committed).unwrap_or(0);
        let state = self.state.snapshot();
        let mut records = vec![DiskRecord::Snapshot { index: self.committed, epoch, state }];
        records.extend(self.log.entries_from(self.committed + 1).map(entry_record));
        records.push(DiskRecord::Epoch(self.record.clone()));
        if self.acted_in == self.record.epoch && self.acted_in > 0 {
            records.push(DiskRecord::Acted { epoch: self.acted_in });
        }
        Some(records)
    }

    /// Takes what the caller must do.
    pub fn take_outputs(&mut self) -> Vec<ReplicaOutput> {
        if let Some((token, records)) = self.disk.flush(self.now, self.log.last_index()) {
            self.outputs.push(ReplicaOutput::Persist { token, records });
        }
        match self.role {
            Role::Primary(_) => self.flush_as_primary(),
            Role::Follower(_) => self.flush_as_follower(),
        }
        std::mem::take(&mut self.outputs)
    }

    fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Whether this replica can't lead now: its disk hangs, or its state can't be trusted.
    fn is_unable(&self, now: Duration) -> bool {
        self.state.is_damaged() || self.disk.is_hanging(now, self.settings.most_own_write)
    }

    /// Applies entries up to an index, as far as they are here.
    fn commit_to(&mut self, index: u64) {
        let index = index.min(self.log.last_index());
        if index <= self.committed {
            return;
        }
        for (position, entry) in self.log.entries_from(self.committed + 1) {
            if position > index {
                break;
            }
            self.state.apply(position, &entry.data.0);
        }
        self.committed = index;
        self.outputs.push(ReplicaOutput::Committed { index });
        self.trim_log();
    }

    /// Forgets old entries; an in-sync replica that needs them must not be left to a snapshot.
    fn trim_log(&mut self) {
        if self.log.bytes() <= self.settings.kept_bytes {
            return;
        }
        let most = self.slowest_in_sync().min(self.committed);
        self.log.trim(most, self.settings.kept_bytes);
    }

    /// Puts an entry at the end of the log and on its way to the disk.
    fn append_to_log(&mut self, entry: LogEntry) -> u64 {
        let index = self.log.push(entry);
        if let Some(entry) = self.log.entry(index) {
            self.disk.push(entry_record((index, entry)));
        }
        index
    }

    fn send(&mut self, to: Member, message: &ReplicaMessage) {
        self.outputs.push(ReplicaOutput::Send { to, message: message.serialize_bin() });
    }

    /// After a pause of this process, silence of others says nothing about them.
    fn forgive_own_stall(&mut self) {
        if self.now.saturating_sub(self.last_tick) <= self.settings.most_lag / 2 {
            return;
        }
        let patience = self.now + self.settings.beacon * 3;
        self.succession.quiet_until = self.succession.quiet_until.max(patience);
        if let Role::Primary(primary) = &mut self.role {
            primary.forgive_lag(self.now);
        }
    }
}

/// The disk record of an entry.
fn entry_record((index, entry): (u64, &LogEntry)) -> DiskRecord {
    let Blob(data) = &entry.data;
    DiskRecord::Entry { index, epoch: entry.epoch, entry: data.clone() }
}
