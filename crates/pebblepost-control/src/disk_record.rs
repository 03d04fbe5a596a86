//! Records of a control process on its disk.

use nanoserde::{DeBin, SerBin};
use pebblepost_replication::record::EpochRecord;
use pebblepost_replication::register::WitnessState;
use pebblepost_replication::replica::DiskRecord;

/// A record on the disk.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum ControlRecord {
    /// The first epoch record, where this disk is a founder's.
    Founding(EpochRecord),
    /// State of the witness; replaces the one before.
    Witness(WitnessState),
    /// Part of the replica's state.
    Replica(DiskRecord),
}

impl ControlRecord {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        SerBin::serialize_bin(self)
    }
}

/// What a disk held.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredRecords {
    /// The first epoch record.
    pub founding: Option<EpochRecord>,
    /// State of the witness.
    pub witness: Option<WitnessState>,
    /// The replica's records, in their order.
    pub replica: Vec<DiskRecord>,
}

impl RecoveredRecords {
    /// Reads the records of a disk, in the order written.
    pub fn read(records: &[Vec<u8>]) -> Result<RecoveredRecords, nanoserde::DeBinErr> {
        let mut recovered = RecoveredRecords::default();
        for record in records {
            match ControlRecord::deserialize_bin(record)? {
                ControlRecord::Founding(record) => recovered.founding = Some(record),
                ControlRecord::Witness(state) => recovered.witness = Some(state),
                ControlRecord::Replica(record) => recovered.replica.push(record),
            }
        }
        Ok(recovered)
    }
}
