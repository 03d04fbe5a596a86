//! Records of a control process in its disk log, and what is recovered from them at start.

use nanoserde::{DeBin, DeBinErr, SerBin};
use pebblepost_replication::record::EpochRecord;
use pebblepost_replication::register::WitnessState;
use pebblepost_replication::replica::DiskRecord;

/// A record on disk. The order of the variants is part of the stored form.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum ControlRecord {
    /// The epoch record that the control group was bootstrapped with; on disks of bootstrap members only.
    Bootstrap(EpochRecord),
    /// State of the epoch register's witness; replaces the one before.
    Witness(WitnessState),
    /// Part of the replica's state.
    Replica(DiskRecord),
}

impl ControlRecord {
    /// The stored form.
    pub fn encode(&self) -> Vec<u8> {
        SerBin::serialize_bin(self)
    }
}

/// What the records of a disk amount to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// The epoch record that the control group was bootstrapped with.
    pub bootstrap: Option<EpochRecord>,
    /// Newest state of the witness.
    pub witness: Option<WitnessState>,
    /// The replica's records in the order they were written.
    pub replica: Vec<DiskRecord>,
}

impl RecoveredState {
    /// Decodes the records of a disk, given in the order they were written.
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
