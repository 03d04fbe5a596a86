//! The progress of another replica as tracked by the primary.

use super::snapshot::OutgoingSnapshot;
use pebblepost_messages::Member;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of appends in flight to one replica.
const MAX_APPENDS_IN_FLIGHT: usize = 16;
/// Payload of the appends in flight from which on no further one is sent. An entry may be large, and what waits for a
/// link must not grow with their number.
const MAX_BYTES_IN_FLIGHT: usize = 4 * 1024 * 1024;
/// Number of later heartbeats after which the acknowledgement of a watermark's heartbeat counts as
/// lost.
const MAX_WATERMARK_AGE_HEARTBEATS: u64 = 20;

/// Mode in which entries are sent to a replica.
#[derive(Debug)]
pub(super) enum SendState {
    /// One append at a time, until the index at which the logs agree is known.
    Probe,
    /// One chunk of a snapshot at a time.
    Snapshot(OutgoingSnapshot),
    /// A window of appends.
    Replicate,
}

/// The send position at the time at which a heartbeat was sent. Links are ordered: anything sent before
/// the heartbeat arrives before it, or is lost.
#[derive(Clone, Copy, Debug)]
struct Watermark {
    heartbeat: u64,
    position: u64,
}

/// An append that is not acknowledged.
#[derive(Clone, Copy, Debug)]
pub(super) struct AppendInFlight {
    /// Index of its last entry.
    last_index: u64,
    payload_bytes: usize,
}

/// The state that the primary keeps for another replica.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) member: Member,
    /// Index up to which the replica's log agrees with the primary's and is on disk; `None` until that is known.
    pub(super) matched: Option<u64>,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    pub(super) state: SendState,
    /// Whether the next probe, or the next chunk of the snapshot, is due.
    pub(super) is_send_due: bool,
    /// Appends in flight, oldest first.
    pub(super) in_flight: VecDeque<AppendInFlight>,
    /// Time at which the newest acknowledged heartbeat was sent. The lease that it grants starts there.
    pub(super) lease_start: Option<Duration>,
    /// Time at which the replica last acknowledged a heartbeat, or was added.
    pub(super) last_ack_at: Duration,
    /// Time since which the replica has acknowledged no further entry although some are pending.
    pub(super) pending_since: Duration,
    /// The heartbeat whose acknowledgement shows whether a message before it was lost.
    watermark: Option<Watermark>,
}

impl Progress {
    /// Creates the progress of a replica that is probed from `next_index`.
    pub(super) fn new(member: Member, next_index: u64, now: Duration) -> Self {
        Self {
            member,
            matched: None,
            next_index,
            state: SendState::Probe,
            is_send_due: true,
            in_flight: VecDeque::new(),
            lease_start: None,
            last_ack_at: now,
            pending_since: now,
            watermark: None,
        }
    }

    /// Restarts at `next_index`: sends one append, and the rest once that is acknowledged.
    pub(super) fn probe_from(&mut self, next_index: u64) {
        self.next_index = next_index;
        self.state = SendState::Probe;
        self.is_send_due = true;
        self.in_flight.clear();
    }

    /// Starts to send a snapshot instead of entries.
    pub(super) fn send_snapshot(&mut self, snapshot: OutgoingSnapshot) {
        self.state = SendState::Snapshot(snapshot);
        self.is_send_due = true;
        self.in_flight.clear();
    }

    /// Returns the snapshot that is being sent to the replica, if any.
    pub(super) fn snapshot(&self) -> Option<&OutgoingSnapshot> {
        match &self.state {
            SendState::Snapshot(snapshot) => Some(snapshot),
            SendState::Probe | SendState::Replicate => None,
        }
    }

    /// Returns whether appends are sent one at a time.
    pub(super) fn is_probing(&self) -> bool {
        matches!(self.state, SendState::Probe)
    }

    /// Handles the acknowledgement of the first `offset` bytes of the snapshot at `index`. The next
    /// chunk becomes due, or the entries after the snapshot if it is complete.
    pub(super) fn on_snapshot_received(&mut self, index: u64, offset: u64) {
        let SendState::Snapshot(snapshot) = &mut self.state else { return };
        if snapshot.index != index {
            return;
        }
        if snapshot.on_received(offset) {
            self.probe_from(index + 1);
        } else {
            self.is_send_due = true;
        }
    }

    /// Records that a heartbeat is sent to the replica. The watermark stays at an earlier unacknowledged
    /// heartbeat, so that a long round trip does not move it, until the acknowledgement of that
    /// heartbeat counts as lost.
    pub(super) fn on_heartbeat_sent(&mut self, heartbeat: u64) {
        let is_pending = |watermark: &Watermark| {
            heartbeat.saturating_sub(watermark.heartbeat) < MAX_WATERMARK_AGE_HEARTBEATS
        };
        if self.watermark.as_ref().is_none_or(|watermark| !is_pending(watermark)) {
            self.watermark = Some(Watermark { heartbeat, position: self.send_position() });
        }
    }

    /// Handles the acknowledgement of a heartbeat that was sent at `sent_at`, with the log agreeing up
    /// to `matched`. Renews the lease, and resends what was sent before the watermark and has not
    /// arrived.
    pub(super) fn on_heartbeat_ack(
        &mut self, heartbeat: u64, sent_at: Duration, matched: u64, now: Duration,
    ) {
        self.lease_start = self.lease_start.max(Some(sent_at));
        self.last_ack_at = now;
        self.resend_lost(heartbeat, matched);
    }

    /// Starts the next epoch. Messages of the previous epoch are rejected and no longer acknowledged,
    /// so they are sent again.
    pub(super) fn start_epoch(&mut self, last_index: u64) {
        self.watermark = None;
        if self.snapshot().is_some() {
            self.is_send_due = true;
        } else {
            self.probe_from(self.matched.unwrap_or(last_index) + 1);
        }
    }

    /// Returns whether another append may be sent.
    pub(super) fn has_window(&self) -> bool {
        let payload_bytes: usize = self.in_flight.iter().map(|append| append.payload_bytes).sum();
        self.in_flight.len() < MAX_APPENDS_IN_FLIGHT && payload_bytes < MAX_BYTES_IN_FLIGHT
    }

    /// Returns whether a message to the replica is due.
    pub(super) fn is_due(&self, last_index: u64) -> bool {
        match self.state {
            SendState::Probe | SendState::Snapshot(_) => self.is_send_due,
            SendState::Replicate => self.next_index <= last_index && self.has_window(),
        }
    }

    /// Records that an append up to this index was sent.
    pub(super) fn on_append_sent(&mut self, last_index: u64, payload_bytes: usize) {
        self.next_index = last_index + 1;
        self.in_flight.push_back(AppendInFlight { last_index, payload_bytes });
    }

    /// Handles the acknowledgement that the replica's log agrees and is on disk up to `index`.
    pub(super) fn on_appended(&mut self, index: u64, now: Duration) {
        if self.matched.is_none_or(|matched| matched < index) {
            self.matched = Some(index);
            self.pending_since = now;
        }
        while self.in_flight.pop_front_if(|append| append.last_index <= index).is_some() {}
        if self.is_probing() {
            self.state = SendState::Replicate;
            self.next_index = index + 1;
        }
        self.next_index = self.next_index.max(index + 1);
    }

    /// Restarts the timeouts that [`Self::is_lagging`] checks.
    pub(super) fn reset_timeouts(&mut self, now: Duration) {
        self.last_ack_at = now;
        self.pending_since = now;
    }

    /// Returns whether the replica has not acknowledged heartbeats or an entry for longer than `max_lag`.
    pub(super) fn is_lagging(&self, now: Duration, last_index: u64, max_lag: Duration) -> bool {
        let is_behind = self.matched.is_none_or(|matched| matched < last_index);
        let is_timed_out = now.saturating_sub(self.last_ack_at) > max_lag;
        is_timed_out || (is_behind && now.saturating_sub(self.pending_since) > max_lag)
    }

    /// Returns whether the lease that the replica grants is unexpired, counted from the time at which
    /// the heartbeat that it acknowledged was sent.
    pub(super) fn grants_lease(&self, now: Duration, lease: Duration) -> bool {
        self.lease_start.is_some_and(|start| now.saturating_sub(start) < lease)
    }

    /// Returns the send position, which changes with every transfer that makes progress.
    fn send_position(&self) -> u64 {
        self.snapshot().map_or(self.next_index, |snapshot| snapshot.offset as u64)
    }

    fn resend_lost(&mut self, heartbeat: u64, matched: u64) {
        let is_reached = |watermark: &mut Watermark| heartbeat >= watermark.heartbeat;
        let Some(watermark) = self.watermark.take_if(is_reached) else { return };
        match self.state {
            SendState::Probe | SendState::Snapshot(_) => {
                self.is_send_due |= watermark.position == self.send_position();
            }
            SendState::Replicate if matched + 1 < watermark.position => {
                self.probe_from(matched.max(self.matched.unwrap_or(0)) + 1);
            }
            SendState::Replicate => {}
        }
    }
}
