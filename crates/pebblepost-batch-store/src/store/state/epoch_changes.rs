//! Epoch changes that were requested from the control plane and are not yet answered.

use pebblepost_messages::control::{GroupEpoch, ToControl};
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which an unanswered change is abandoned.
const EPOCH_CHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// A requested change without an answer.
#[derive(Debug)]
struct EpochChange {
    request: u64,
    expected_epoch: u64,
    record: EpochRecord,
    requested_at: Duration,
}

/// The outcome of a requested change.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum EpochChangeOutcome {
    /// The proposed record is in force.
    Accepted(EpochRecord),
    /// Another record is in force.
    Rejected,
    /// No change with this request number is pending.
    NotRequested,
}

/// The pending changes, at most one for each store group.
#[derive(Debug, Default)]
pub(crate) struct EpochChanges {
    last_request: u64,
    pending: BTreeMap<u32, EpochChange>,
}

impl EpochChanges {
    /// Adds a change, which replaces a pending one of the store group, and returns the message that requests
    /// it.
    pub(crate) fn request(
        &mut self, now: Duration, group_id: u32, expected_epoch: u64, record: EpochRecord,
    ) -> ToControl {
        self.last_request += 1;
        let change = EpochChange { request: self.last_request, expected_epoch, record, requested_at: now };
        let message = change.message(group_id);
        self.pending.insert(group_id, change);
        message
    }

    /// Returns the messages that request all pending changes again, for a new connection.
    pub(crate) fn repeated_messages(&self) -> Vec<ToControl> {
        self.pending.iter().map(|(group_id, change)| change.message(*group_id)).collect()
    }

    /// Processes the answer to a request and removes the change that it concerns.
    pub(crate) fn handle_answer(
        &mut self, request: u64, group_id: u32, current: &GroupEpoch,
    ) -> EpochChangeOutcome {
        if self.pending.get(&group_id).is_none_or(|change| change.request != request) {
            return EpochChangeOutcome::NotRequested;
        }
        match self.pending.remove(&group_id) {
            Some(change) if group_epoch(&change.record) == *current => {
                EpochChangeOutcome::Accepted(change.record)
            }
            _ => EpochChangeOutcome::Rejected,
        }
    }

    /// Abandons the pending change of a store group whose replica is dropped.
    pub(crate) fn remove(&mut self, group_id: u32) {
        self.pending.remove(&group_id);
    }

    /// Abandons the changes whose answer timed out and returns their store groups.
    pub(crate) fn take_timed_out(&mut self, now: Duration) -> Vec<u32> {
        let is_timed_out =
            |change: &EpochChange| now.saturating_sub(change.requested_at) >= EPOCH_CHANGE_TIMEOUT;
        let timed_out = self.pending.iter().filter(|(_, change)| is_timed_out(change));
        let group_ids: Vec<u32> = timed_out.map(|(group_id, _)| *group_id).collect();
        for group_id in &group_ids {
            self.pending.remove(group_id);
        }
        group_ids
    }
}

impl EpochChange {
    fn message(&self, group_id: u32) -> ToControl {
        ToControl::ChangeGroup {
            request: self.request,
            group: group_id,
            expected_epoch: self.expected_epoch,
            proposed: group_epoch(&self.record),
        }
    }
}

/// Returns the part of an epoch record that the control plane stores.
fn group_epoch(record: &EpochRecord) -> GroupEpoch {
    let in_sync = record.in_sync.iter().map(|member| member.disk).collect();
    GroupEpoch { epoch: record.epoch, primary: record.primary, in_sync }
}

/// Builds the record of an epoch. Returns `None` if one of its members is unknown.
pub(crate) fn epoch_record_of(epoch: &GroupEpoch, members: &BTreeMap<DiskId, Member>) -> Option<EpochRecord> {
    let in_sync: Option<Vec<Member>> = epoch.in_sync.iter().map(|disk| members.get(disk).cloned()).collect();
    Some(EpochRecord {
        epoch: epoch.epoch,
        primary: epoch.primary,
        in_sync: in_sync?,
        ..EpochRecord::default()
    })
}
