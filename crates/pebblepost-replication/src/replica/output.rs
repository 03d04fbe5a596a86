//! Outputs of a replica, and the error of a rejected proposal.

use super::disk_record::DiskRecord;
use crate::record::EpochRecord;
use pebblepost_messages::Member;

/// An action that the caller must carry out, in the order of the outputs.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaOutput {
    /// Send a message to another replica.
    Send {
        /// Receiver.
        to: Member,
        /// Encoded message.
        message: Vec<u8>,
    },
    /// Append records to the disk, and call [`Replica::on_persisted`](super::Replica::on_persisted) with
    /// the token once they are durable.
    Persist {
        /// Identifies the write; increases with each write.
        token: u64,
        /// The records.
        records: Vec<DiskRecord>,
    },
    /// Ask the configuration manager to make `record` the successor of epoch `expected`. When the
    /// request has ended, call [`Replica::configure`](super::Replica::configure) with the record that
    /// is then in force, and after that
    /// [`Replica::on_epoch_change_ended`](super::Replica::on_epoch_change_ended).
    ChangeEpoch {
        /// Epoch that the record builds on.
        expected: u64,
        /// The proposed record.
        record: EpochRecord,
    },
    /// Entries up to this index are committed and applied at this replica.
    Committed {
        /// Index.
        index: u64,
    },
    /// This replica is primary and has committed all entries of earlier epochs, so it may act. This
    /// output is not repeated when the same replica stays primary in the next epoch.
    BecamePrimary {
        /// The epoch.
        epoch: u64,
    },
    /// This replica is no longer primary. Entries that it proposed and that are not committed may still
    /// be committed or lost.
    SteppedDown,
}

/// Why an entry was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica is not the primary, or does not act because its lease has expired or it is handing
    /// over.
    #[error("not the primary, or its lease has expired")]
    NotPrimary,
    /// Fewer replicas are in sync than the tolerance requires, so nothing can be committed now.
    #[error("too few in-sync replicas")]
    TooFewReplicas,
}
