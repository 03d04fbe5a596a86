//! What a replica asks its caller to do, and how it rejects a proposal.

use super::disk_record::DiskRecord;
use crate::record::EpochRecord;
use pebblepost_messages::Member;

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
    /// Append records to disk, then call [`Replica::on_persisted`](super::Replica::on_persisted) with
    /// the token.
    Persist {
        /// Identifies the write; rises.
        token: u64,
        /// The records.
        records: Vec<DiskRecord>,
    },
    /// Ask the configuration manager for `record` to follow epoch `expected`; answer with
    /// [`Replica::configure`](super::Replica::configure) (whatever is in force then) and after that
    /// with [`Replica::on_epoch_change_ended`](super::Replica::on_epoch_change_ended).
    ChangeEpoch {
        /// Epoch that the record builds on.
        expected: u64,
        /// The proposed record.
        record: EpochRecord,
    },
    /// Entries up to this index are committed and applied here.
    Committed {
        /// Index.
        index: u64,
    },
    /// This replica is primary, and everything of earlier epochs is committed: it may act. Not
    /// repeated when the same replica stays primary in the next epoch.
    BecamePrimary {
        /// The epoch.
        epoch: u64,
    },
    /// This replica is not primary any more; what it proposed and is not committed is undecided.
    SteppedDown,
}

/// Why an entry was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Not the primary, or its lease has expired.
    #[error("not the primary, or its lease has expired")]
    NotPrimary,
    /// Fewer in-sync replicas than the tolerance needs: nothing can be committed now.
    #[error("too few in-sync replicas")]
    TooFewReplicas,
}
