//! One ballot of a proposer: who was asked, who answered.

use super::Ballot;
use crate::record::EpochRecord;
use pebblepost_messages::DiskId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the proposer wants.
#[derive(Clone, Debug)]
pub(super) enum Goal {
    /// To know the newest chosen record.
    Refresh,
    /// To have a record chosen after epoch `expected`.
    Propose { expected: u64, record: EpochRecord },
}

/// A goal and how long it is pursued.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) goal: Goal,
    pub(super) deadline: Duration,
    pub(super) failures: u32,
    /// When the next ballot starts, while none is under way.
    pub(super) retry_at: Duration,
}

/// What a witness had accepted when it promised.
#[derive(Debug)]
pub(super) struct PromiseReply {
    pub(super) accepted_ballot: Ballot,
    pub(super) accepted: Option<EpochRecord>,
}

/// The two rounds of a ballot.
#[derive(Debug)]
pub(super) enum Phase {
    /// Promises are collected.
    Prepare { known: EpochRecord, replies: BTreeMap<DiskId, PromiseReply> },
    /// Acceptances are collected. `previous` is the record that it follows, where it is new.
    Accept { record: EpochRecord, previous: Option<EpochRecord>, answered: BTreeSet<DiskId> },
}

/// One ballot under way.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) ballot: Ballot,
    pub(super) deadline: Duration,
    pub(super) asked: BTreeSet<DiskId>,
    pub(super) phase: Phase,
}

/// The promise with the highest accepted ballot.
pub(super) fn newest(replies: &BTreeMap<DiskId, PromiseReply>) -> Option<(Ballot, &EpochRecord)> {
    replies
        .values()
        .filter_map(|reply| reply.accepted.as_ref().map(|record| (reply.accepted_ballot, record)))
        .max_by_key(|(ballot, _)| *ballot)
}

/// The disks that reported this accepted ballot.
pub(super) fn disks_at(replies: &BTreeMap<DiskId, PromiseReply>, ballot: Ballot) -> BTreeSet<DiskId> {
    replies
        .iter()
        .filter(|(_, reply)| reply.accepted.is_some() && reply.accepted_ballot == ballot)
        .map(|(disk, _)| *disk)
        .collect()
}
