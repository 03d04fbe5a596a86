//! Records in the disk log of a control node, and the state that is recovered from them at start.

use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_replication::record::EpochRecord;
use pebblepost_replication::register::WitnessState;
use pebblepost_replication::replica::DiskRecord;

/// A record on disk. The order of the variants is part of the stored form.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum ControlRecord {
    /// The epoch record with which the control group was bootstrapped. It is only on the disks of bootstrap members.
    Bootstrap(EpochRecord),
    /// State of the epoch register's witness. Replaces any earlier one.
    Witness(WitnessState),
    /// Part of the replica's state.
    Replica(DiskRecord),
}

impl ControlRecord {
    /// Encodes the record in its stored form.
    pub fn encode(&self) -> Vec<u8> {
        SerBin::serialize_bin(self)
    }
}

/// State recovered from the records of a disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// The epoch record with which the control group was bootstrapped.
    pub bootstrap: Option<EpochRecord>,
    /// Newest state of the epoch register's witness.
    pub witness: Option<WitnessState>,
    /// Records of the replica in the order in which they were written.
    pub replica: Vec<DiskRecord>,
}

impl RecoveredState {
    /// Decodes the records of a disk, given in the order in which they were written.
    ///
    /// # Errors
    /// If a record is not in the stored form of [`ControlRecord`].
    pub fn decode(records: &[Vec<u8>]) -> Result<RecoveredState, DeBinErr> {
        let mut recovered = RecoveredState::default();
        for record in records {
            match ControlRecord::deserialize_bin(record)? {
                ControlRecord::Bootstrap(record) => recovered.bootstrap = Some(record),
                ControlRecord::Witness(state) => recovered.witness = Some(state),
                ControlRecord::Replica(record) => recovered.replica.push(record),
            }
        }
        Ok(recovered)
    }
}
