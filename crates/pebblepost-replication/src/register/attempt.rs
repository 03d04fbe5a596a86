//! One attempt of a proposer: its proposal number, and the replies of the witnesses.

use super::proposal_number::ProposalNumber;
use crate::record::EpochRecord;
use pebblepost_messages::DiskId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The promise of a witness: the record that it had accepted by then, and the number of the proposal.
#[derive(Debug)]
pub(super) struct Promise {
    pub(super) accepted_number: ProposalNumber,
    pub(super) accepted: Option<EpochRecord>,
}

impl Promise {
    /// Returns the accepted record and its proposal number, if any.
    fn accepted_under(&self) -> Option<(ProposalNumber, &EpochRecord)> {
        self.accepted.as_ref().map(|record| (self.accepted_number, record))
    }
}

/// The promises of one attempt, by the disk of the witness.
#[derive(Debug, Default)]
pub(super) struct Promises(BTreeMap<DiskId, Promise>);

impl Promises {
    pub(super) fn insert(&mut self, disk: DiskId, promise: Promise) {
        self.0.insert(disk, promise);
    }

    pub(super) fn disks(&self) -> BTreeSet<DiskId> {
        self.0.keys().copied().collect()
    }

    /// Returns the record accepted under the highest proposal number, and that number.
    pub(super) fn highest_accepted(&self) -> Option<(ProposalNumber, &EpochRecord)> {
        let accepted = self.0.values().filter_map(Promise::accepted_under);
        accepted.max_by_key(|(number, _)| *number)
    }

    /// Returns the disks that had accepted a record under this proposal number.
    pub(super) fn disks_accepted_under(&self, number: ProposalNumber) -> BTreeSet<DiskId> {
        let is_accepted =
            |promise: &Promise| promise.accepted_under().is_some_and(|accepted| accepted.0 == number);
        self.0.iter().filter(|(_, promise)| is_accepted(promise)).map(|(disk, _)| *disk).collect()
    }
}

/// The two phases of Paxos.
#[derive(Debug)]
pub(super) enum Phase {
    /// Collects promises. `known` is the record whose witnesses were asked first.
    Prepare { known: EpochRecord, promises: Promises },
    /// Collects acceptances. `previous` is the predecessor of `record`, or `None` if `record` was
    /// accepted before and is only completed.
    Accept { record: EpochRecord, previous: Option<EpochRecord>, accepted_by: BTreeSet<DiskId> },
}

/// An attempt in progress.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) number: ProposalNumber,
    pub(super) deadline: Duration,
    /// Disks to which the prepare request was sent.
    pub(super) prepared: BTreeSet<DiskId>,
    pub(super) phase: Phase,
}
