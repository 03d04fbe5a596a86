//! The role of a replica in the current epoch, with its state.

use super::heartbeat_log::HeartbeatLog;
use super::progress_tracker::ProgressTracker;
use super::snapshot::IncomingSnapshot;
use pebblepost_messages::Member;
use std::time::Duration;

/// The role of a replica in the current epoch.
#[derive(Debug)]
pub(super) enum Role {
    Follower(Follower),
    Primary(Box<Primary>),
}

/// State of a primary; it is kept for the whole term.
#[derive(Debug)]
pub(super) struct Primary {
    /// Last index of the log at the start of the term. A predecessor may have acknowledged all entries
    /// up to it.
    pub(super) takeover_index: u64,
    /// Whether the record of the current epoch is on disk and was announced.
    pub(super) is_epoch_announced: bool,
    /// Whether the first epoch of this term was announced. Heartbeats and proposals were possible from
    /// then on.
    pub(super) has_announced_first_epoch: bool,
    /// Whether [`ReplicaOutput::BecamePrimary`](super::ReplicaOutput::BecamePrimary) was put out in this
    /// term.
    pub(super) has_reported_acting: bool,
    /// Time since which no new entries are accepted because the role is about to be handed over.
    pub(super) draining_since: Option<Duration>,
    pub(super) progress: ProgressTracker,
    /// Members, besides the tracked replicas, to which the epoch record is sent when it is announced.
    pub(super) epoch_receivers: Vec<Member>,
    /// Time at which the epoch record is next sent to targets that are not tracked.
    pub(super) next_target_announcement_at: Duration,
    pub(super) heartbeats: HeartbeatLog,
}

impl Primary {
    pub(super) fn new(takeover_index: u64, now: Duration) -> Self {
        Self {
            takeover_index,
            is_epoch_announced: false,
            has_announced_first_epoch: false,
            has_reported_acting: false,
            draining_since: None,
            progress: ProgressTracker::default(),
            epoch_receivers: Vec::new(),
            next_target_announcement_at: now,
            heartbeats: HeartbeatLog::new(now),
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }
}

/// State of a follower in one epoch.
#[derive(Debug, Default)]
pub(super) struct Follower {
    /// Index up to which the log agrees with the primary's.
    pub(super) matched: u64,
    /// Newest index that was acknowledged to the primary.
    pub(super) acknowledged: u64,
    /// Whether an append must be acknowledged even if nothing new is on disk.
    pub(super) is_ack_due: bool,
    /// Number of a heartbeat whose acknowledgement waits until the epoch record is on disk.
    pub(super) pending_heartbeat: Option<u64>,
    pub(super) snapshot: Option<IncomingSnapshot>,
    /// Time at which the last message of the primary arrived in this epoch.
    pub(super) last_contact_at: Option<Duration>,
    pub(super) next_join_request_at: Duration,
    pub(super) join_request_count: u32,
}

impl Follower {
    /// Records that the log agrees with the primary's up to `index`, which must be acknowledged.
    pub(super) fn on_matched(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.is_ack_due = true;
    }
}
