//! Messages between replicas. The order of variants and fields is the wire format.

use super::log::LogEntry;
use crate::codec::{Blob, Sequence};
use crate::record::EpochRecord;
use nanoserde::{DeBin, SerBin};
use pebblepost_messages::DiskId;

/// Maximum payload of one message, except that a larger entry is sent in a message of its own.
pub(super) const MAX_PAYLOAD_BYTES: usize = 256 * 1024;

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ReplicaMessage {
    /// Sent by the primary: entries that follow the entry at `previous_index`.
    Append {
        epoch: u64,
        previous_index: u64,
        previous_epoch: u64,
        commit_index: u64,
        entries: Sequence<LogEntry>,
    },
    /// Acknowledges that the log agrees with the primary's up to `index` and is on disk.
    Appended { epoch: u64, index: u64 },
    /// Rejects an append because the log does not hold the entry at `previous_index`. The logs agree at
    /// most up to the hint.
    AppendRejected { epoch: u64, previous_index: u64, hint_index: u64, hint_epoch: u64 },
    /// Sent by the primary at regular intervals.
    Heartbeat { epoch: u64, number: u64, commit_index: u64 },
    /// Acknowledges a heartbeat. The log agrees with the primary's up to `matched`, and that part of it
    /// is on disk up to `persisted`, which repeats an [`Self::Appended`] that may have been lost.
    HeartbeatAck { epoch: u64, number: u64, matched: u64, persisted: u64 },
    /// Sent by a replica that is not in sync: asks for the log.
    JoinRequest { epoch: u64, last_index: u64, last_epoch: u64 },
    /// Sent by the primary: a chunk of a snapshot.
    SnapshotChunk { epoch: u64, index: u64, index_epoch: u64, total: u64, offset: u64, bytes: Blob },
    /// Acknowledges the first `offset` bytes of a snapshot and asks for the rest.
    SnapshotReceived { epoch: u64, index: u64, offset: u64 },
    /// The newest epoch record that the sender knows.
    NewEpoch { record: EpochRecord },
    /// Asks for the newest epoch record; the sender knows only this epoch and received a message of a
    /// newer one.
    EpochRequest { epoch: u64 },
    /// The primary of this epoch has stepped down in favour of its successor.
    SteppedDown { epoch: u64 },
    /// The primary of this epoch has lost its disk, and its process has ended: the sender has replaced
    /// it at its address, with another disk.
    PrimaryReplaced { epoch: u64, primary: DiskId },
    /// Before the first primary is elected: asks a member of the initial configuration whether it is up.
    BootstrapQuery,
    /// Answer to [`Self::BootstrapQuery`]: whether the sender holds no data yet.
    BootstrapQueryReply { is_empty: bool },
    /// Sent by a replica that is not in sync and is to be removed: asks the primary to stop relying on
    /// its data.
    RemovalRequest { epoch: u64, number: u64 },
    /// Grants the removal request with this number: neither the record nor an undecided change names
    /// the replica.
    RemovalGranted { epoch: u64, number: u64 },
}
