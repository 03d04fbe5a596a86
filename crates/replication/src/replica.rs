//! A replica of a group: its log, its role, its lease.
//!
//! Interface agreed with the programs; times are the caller's steady clock.

use crate::record::{EpochRecord, Tolerance};
use nanoserde::{DeBin, SerBin};
use pebblepost_messages::{DiskId, Member};
use std::time::Duration;

/// The replicated application: deterministic, changed by entries only.
pub trait StateMachine {
    /// Applies a committed entry.
    fn apply(&mut self, index: u64, entry: &[u8]);
    /// The whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by a snapshot.
    fn restore(&mut self, snapshot: &[u8]);
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
    /// The state up to an index; replaces all before.
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
    /// [`Replica::configure`] (whatever holds now) and [`Replica::change_ended`].
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
    /// This replica is primary, everything of earlier epochs is committed: it may act.
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

/// A replica.
#[derive(Debug)]
pub struct Replica<S> {
    state: S,
}

#[allow(unused_variables)]
impl<S: StateMachine> Replica<S> {
    /// A replica with what its disk held (records in the order written).
    pub fn new(me: Member, settings: ReplicaSettings, state: S, recovered: Vec<DiskRecord>, now: Duration) -> Self {
        todo!()
    }
    /// The epoch record in force, from the configuration manager; older ones are ignored.
    pub fn configure(&mut self, now: Duration, record: &EpochRecord) {
        todo!()
    }
    /// The machines that should hold the group (the primary adds and drops towards it). Empty:
    /// whoever is in sync stays, and whoever asks to join is added.
    pub fn set_targets(&mut self, now: Duration, targets: Vec<Member>) {
        todo!()
    }
    /// An asked-for change of the epoch has ended, with or without success.
    pub fn change_ended(&mut self, now: Duration) {
        todo!()
    }
    /// Appends an entry; its index. Committed later.
    pub fn propose(&mut self, now: Duration, entry: Vec<u8>) -> Result<u64, ProposeError> {
        todo!()
    }
    /// A message arrived.
    pub fn receive(&mut self, now: Duration, from: &Member, message: &[u8]) {
        todo!()
    }
    /// All up to this token is on disk.
    pub fn persisted(&mut self, now: Duration, token: u64) {
        todo!()
    }
    /// Time passed. To be called every 50 ms or so.
    pub fn tick(&mut self, now: Duration) {
        todo!()
    }
    /// Whether this replica is primary, has committed everything of earlier epochs and holds its
    /// lease: it may propose, and answer reads.
    pub fn is_acting(&self, now: Duration) -> bool {
        todo!()
    }
    /// The application's state, committed entries only.
    pub fn state(&self) -> &S {
        &self.state
    }
    /// Newest epoch record known.
    pub fn record(&self) -> &EpochRecord {
        todo!()
    }
    /// Index of the newest committed entry.
    pub fn committed(&self) -> u64 {
        todo!()
    }
    /// How far each known replica holds the log on disk, for displays.
    pub fn progress(&self) -> Vec<(DiskId, u64)> {
        todo!()
    }
    /// Records that say all that the disk has to hold now (a snapshot at the committed index, the
    /// entries after it, the epoch), for compaction.
    pub fn checkpoint(&self) -> Vec<DiskRecord> {
        todo!()
    }
    /// Takes what the caller must do.
    pub fn take_outputs(&mut self) -> Vec<ReplicaOutput> {
        todo!()
    }
}
