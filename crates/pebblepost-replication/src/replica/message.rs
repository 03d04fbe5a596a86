//! Messages between replicas. The order of variants and fields is the wire form.

use super::log::LogEntry;
use crate::codec::{Blob, Sequence};
use crate::record::EpochRecord;
use nanoserde::{DeBin, SerBin};
use pebblepost_messages::DiskId;

/// Largest payload of one message; a single larger entry is sent alone.
pub(super) const MAX_PAYLOAD_BYTES: usize = 256 * 1024;

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ReplicaMessage {
    /// From the primary: entries that follow the entry at `previous_index`.
    Append {
        epoch: u64,
        previous_index: u64,
        previous_epoch: u64,
        commit_index: u64,
        entries: Sequence<LogEntry>,
    },
    /// The log agrees with the primary's up to `index`, and is on disk.
    Appended { epoch: u64, index: u64 },
    /// The log does not hold the entry that an append builds on. It may agree up to the hint at
    /// most.
    AppendRejected { epoch: u64, previous_index: u64, hint_index: u64, hint_epoch: u64 },
    /// From the primary, at regular intervals.
    Heartbeat { epoch: u64, number: u64, commit_index: u64 },
    /// Acknowledges a heartbeat; the log agrees with the primary's up to `matched`, and is on disk
    /// up to `persisted` of that (as in an acknowledgement that may have been lost).
    HeartbeatAck { epoch: u64, number: u64, matched: u64, persisted: u64 },
    /// A replica that is not in sync asks for the log.
    JoinRequest { epoch: u64, last_index: u64, last_epoch: u64 },
    /// A chunk of a snapshot.
    SnapshotChunk { epoch: u64, index: u64, index_epoch: u64, total: u64, offset: u64, bytes: Blob },
    /// Asks for the rest of a snapshot from `offset` on.
    SnapshotReceived { epoch: u64, index: u64, offset: u64 },
    /// The newest epoch record that the sender knows.
    NewEpoch { record: EpochRecord },
    /// The sender knows this epoch only, and was sent something of a newer one.
    EpochRequest { epoch: u64 },
    /// The primary of this epoch has stopped for good in favour of its successor.
    SteppedDown { epoch: u64 },
    /// The disk of the primary of this epoch is lost, and its process with it: the sender has taken
    /// its place at its address, with another disk.
    PrimaryReplaced { epoch: u64, primary: DiskId },
    /// Before the first primary: asks whether a founder is up.
    FounderProbe,
    /// Answer to [`Self::FounderProbe`]: whether the founder holds nothing yet.
    FounderProbeAck { is_empty: bool },
    /// A replica that is not in sync is to be removed: asks whether the primary still counts on it.
    RemovalRequest { epoch: u64, number: u64 },
    /// Answer to the request with this number: neither the record nor an undecided change names the
    /// replica.
    RemovalGranted { epoch: u64, number: u64 },
}
