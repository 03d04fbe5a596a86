//! Changes of epochs that the control plane was asked for.

use pebblepost_messages::control::{GroupEpoch, ToControl};
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a change may stay unanswered before it is given up.
const MOST_WAIT: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Change {
    request: u64,
    expected: u64,
    record: EpochRecord,
    asked_at: Duration,
}

/// What became of a change.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// The record that was proposed holds now.
    Accepted(EpochRecord),
    /// Another one holds.
    Refused,
    /// Nobody waits for the answer any more.
    Unasked,
}

/// Changes that are not answered yet, at most one of each group.
#[derive(Debug, Default)]
pub(super) struct EpochChanges {
    last_request: u64,
    waiting: BTreeMap<u32, Change>,
}

impl EpochChanges {
    /// Notes a change; the message that asks for it.
    pub(super) fn ask(&mut self, now: Duration, group: u32, expected: u64, record: EpochRecord) -> ToControl {
        self.last_request += 1;
        let change = Change { request: self.last_request, expected, record, asked_at: now };
        let message = change.message(group);
        self.waiting.insert(group, change);
        message
    }

    /// Messages that ask anew for all that is not answered, on a new connection.
    pub(super) fn ask_again(&self) -> Vec<ToControl> {
        self.waiting.iter().map(|(group, change)| change.message(*group)).collect()
    }

    /// An answer came.
    pub(super) fn answered(&mut self, request: u64, group: u32, current: &GroupEpoch) -> Answer {
        if self.waiting.get(&group).is_none_or(|change| change.request != request) {
            return Answer::Unasked;
        }
        match self.waiting.remove(&group) {
            Some(change) if group_epoch(&change.record) == *current => Answer::Accepted(change.record),
            _ => Answer::Refused,
        }
    }

    /// A group is not held here any more.
    pub(super) fn forget(&mut self, group: u32) {
        self.waiting.remove(&group);
    }

    /// Groups whose change is given up because no answer came.
    pub(super) fn take_overdue(&mut self, now: Duration) -> Vec<u32> {
        let is_overdue = |change: &Change| now.saturating_sub(change.asked_at) >= MOST_WAIT;
        let overdue: Vec<u32> =
            self.waiting.iter().filter(|(_, change)| is_overdue(change)).map(|(group, _)| *group).collect();
        for group in &overdue {
            self.waiting.remove(group);
        }
        overdue
    }
}

impl Change {
    fn message(&self, group: u32) -> ToControl {
        ToControl::ChangeGroup {
            request: self.request,
            group,
            expected_epoch: self.expected,
            proposed: group_epoch(&self.record),
        }
    }
}

/// What the control plane keeps of an epoch record.
fn group_epoch(record: &EpochRecord) -> GroupEpoch {
    let in_sync = record.in_sync.iter().map(|member| member.disk).collect();
    GroupEpoch { epoch: record.epoch, primary: record.primary, in_sync }
}

/// The record of an epoch whose members are all known.
pub(super) fn record_of(epoch: &GroupEpoch, members: &BTreeMap<DiskId, Member>) -> Option<EpochRecord> {
    let in_sync: Option<Vec<Member>> = epoch.in_sync.iter().map(|disk| members.get(disk).cloned()).collect();
    Some(EpochRecord {
        epoch: epoch.epoch,
        primary: epoch.primary,
        in_sync: in_sync?,
        ..EpochRecord::default()
    })
}
