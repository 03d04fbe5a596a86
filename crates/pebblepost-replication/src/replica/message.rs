//! Messages between replicas.

use super::log::LogEntry;
use crate::codec::{Blob, Sequence};
use crate::record::EpochRecord;
use nanoserde::{DeBin, SerBin};
use pebblepost_messages::DiskId;

/// Largest payload of one message; a single larger entry goes alone.
pub(super) const MOST_PAYLOAD: usize = 256 * 1024;

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ReplicaMessage {
    /// From the primary: entries that follow the entry at `previous_index`.
    Append {
        epoch: u64,
        previous_index: u64,
        previous_epoch: u64,
        committed: u64,
        entries: Sequence<LogEntry>,
    },
    /// The log agrees with the primary's up to here, and is on disk.
    Appended { epoch: u64, index: u64 },
    /// The log does not hold what an append builds on. It may agree up to the hint at most.
    AppendRejected { epoch: u64, previous_index: u64, hint_index: u64, hint_epoch: u64 },
    /// From the primary, at regular times.
    Beacon { epoch: u64, number: u64, committed: u64 },
    /// Confirms a beacon; the log agrees with the primary's up to `matched`, and is on disk up to
    /// `persisted` of that (as in an acknowledgement that may have been lost).
    BeaconAck { epoch: u64, number: u64, matched: u64, persisted: u64 },
    /// A replica that is not in sync asks for the log.
    JoinRequest { epoch: u64, last_index: u64, last_epoch: u64 },
    /// A piece of a snapshot.
    SnapshotPart { epoch: u64, index: u64, index_epoch: u64, total: u64, offset: u64, bytes: Blob },
    /// Asks for the rest of a snapshot from `offset` on.
    SnapshotReceived { epoch: u64, index: u64, offset: u64 },
    /// The newest epoch record that the sender knows.
    NewEpoch { record: EpochRecord },
    /// The sender knows this epoch only, and was sent something of a newer one.
    EpochRequest { epoch: u64 },
    /// The primary of this epoch has stopped for good in favour of its successor.
    Released { epoch: u64 },
    /// The disk of the primary of this epoch is lost, and its process with it: the sender has taken its place at
    /// its address, with another disk.
    PrimaryReplaced { epoch: u64, primary: DiskId },
    /// Before the first primary: asks a founder whether it is there.
    Probe,
    /// Answer to a probe: whether the founder holds nothing yet.
    ProbeAnswer { is_empty: bool },
    /// A replica that is not in sync is to be given up: asks whether the primary still counts on it.
    LeaveRequest { epoch: u64, number: u64 },
    /// Answer to the request with this number: neither the record nor an undecided change names the replica.
    LeaveGranted { epoch: u64, number: u64 },
}
