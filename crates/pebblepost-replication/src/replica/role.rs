//! What a replica does in the current epoch, and the state that goes with it.

use super::heartbeat_log::HeartbeatLog;
use super::progress_tracker::ProgressTracker;
use super::snapshot::IncomingSnapshot;
use pebblepost_messages::Member;
use std::time::Duration;

/// What a replica does in the current epoch.
#[derive(Debug)]
pub(super) enum Role {
    Follower(Follower),
    Primary(Box<Primary>),
}

/// State of a primary, for the whole of its term.
#[derive(Debug)]
pub(super) struct Primary {
    /// End of the log at the start of the term: all of it may have been acknowledged by a
    /// predecessor.
    pub(super) takeover_index: u64,
    /// The record of the current epoch is on disk, and the epoch announced.
    pub(super) is_epoch_open: bool,
    /// The first epoch of this term was open once; heartbeats and proposals were possible.
    pub(super) is_term_open: bool,
    /// [`ReplicaOutput::BecamePrimary`](super::ReplicaOutput::BecamePrimary) was given out.
    pub(super) is_announced: bool,
    /// Since when no new entries are accepted, as the role is about to be handed over.
    pub(super) draining_since: Option<Duration>,
    pub(super) progress: ProgressTracker,
    /// Who else is sent the epoch record when it opens.
    pub(super) epoch_receivers: Vec<Member>,
    /// When the epoch record is next sent to targets that have not joined.
    pub(super) announce_targets_at: Duration,
    pub(super) heartbeats: HeartbeatLog,
}

impl Primary {
    pub(super) fn new(takeover_index: u64, now: Duration) -> Self {
        Self {
            takeover_index,
            is_epoch_open: false,
            is_term_open: false,
            is_announced: false,
            draining_since: None,
            progress: ProgressTracker::default(),
            epoch_receivers: Vec::new(),
            announce_targets_at: now,
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
    /// The log agrees with the primary's up to here.
    pub(super) matched: u64,
    /// Newest index that was acknowledged.
    pub(super) acknowledged: u64,
    /// An append is to be answered, even if nothing new is on disk.
    pub(super) is_ack_due: bool,
    /// A heartbeat whose acknowledgement waits for the epoch record to be on disk.
    pub(super) pending_heartbeat: Option<u64>,
    pub(super) snapshot: Option<IncomingSnapshot>,
    /// When the primary was last heard from.
    pub(super) last_contact_at: Option<Duration>,
    pub(super) next_join_request_at: Duration,
    pub(super) join_request_count: u32,
}

impl Follower {
    /// The log agrees with the primary's up to `index`; the primary is to be answered.
    pub(super) fn on_matched(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.is_ack_due = true;
    }
}
