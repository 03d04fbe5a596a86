//! What the primary knows of the progress of another replica.

use super::snapshot::OutgoingSnapshot;
use pebblepost_messages::Member;
use std::collections::VecDeque;
use std::time::Duration;

/// Appends that may be in flight to one replica.
const MAX_IN_FLIGHT: usize = 16;
/// Number of heartbeats after which the acknowledgement of a watermark's heartbeat counts as lost.
const MAX_WATERMARK_AGE: u64 = 20;

/// How entries are sent to a replica.
#[derive(Debug)]
pub(super) enum SendState {
    /// One append at a time, until the logs are known to agree.
    Probe,
    /// One chunk of a snapshot at a time.
    Snapshot(OutgoingSnapshot),
    /// A window of appends.
    Replicate,
}

/// How far sending had come when a heartbeat was sent. What was sent before it arrives before it.
#[derive(Clone, Copy, Debug)]
struct Watermark {
    heartbeat: u64,
    position: u64,
}

/// Another replica, as the primary sees it.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) member: Member,
    /// Its log agrees and is on disk up to here; `None` before that is known in this epoch.
    pub(super) matched: Option<u64>,
    /// Next entry to send.
    pub(super) next_index: u64,
    pub(super) state: SendState,
    /// The next probe, or chunk of the snapshot, is to be sent.
    pub(super) is_send_due: bool,
    /// Last indexes of the appends in flight.
    pub(super) in_flight: VecDeque<u64>,
    /// When the newest heartbeat that it acknowledged was sent: its lease runs from there.
    pub(super) lease_start: Option<Duration>,
    /// When it last acknowledged a heartbeat, or was added.
    pub(super) last_ack_at: Duration,
    /// Since when it has not acknowledged any entry although some are pending.
    pub(super) pending_since: Duration,
    /// The heartbeat whose acknowledgement shows whether something was lost.
    watermark: Option<Watermark>,
}

impl Progress {
    /// A replica that is probed from `next_index` on.
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

    /// Starts over at `next_index`: one append, then the rest once it is acknowledged.
    pub(super) fn probe_from(&mut self, next_index: u64) {
        self.next_index = next_index;
        self.state = SendState::Probe;
        self.is_send_due = true;
        self.in_flight.clear();
    }

    /// Starts to send a snapshot in place of entries.
    pub(super) fn send_snapshot(&mut self, snapshot: OutgoingSnapshot) {
        self.state = SendState::Snapshot(snapshot);
        self.is_send_due = true;
        self.in_flight.clear();
    }

    /// The snapshot on its way to it.
    pub(super) fn snapshot(&self) -> Option<&OutgoingSnapshot> {
        match &self.state {
            SendState::Snapshot(snapshot) => Some(snapshot),
            SendState::Probe | SendState::Replicate => None,
        }
    }

    /// Whether one append at a time is sent.
    pub(super) fn is_probing(&self) -> bool {
        matches!(self.state, SendState::Probe)
    }

    /// It holds a snapshot up to `index` as far as `offset`: the next chunk follows, or the entries
    /// after the snapshot.
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

    /// A heartbeat is sent to it. One that is not acknowledged yet stays the watermark, however
    /// long the round trip takes, unless its acknowledgement must be lost.
    pub(super) fn on_heartbeat_sent(&mut self, heartbeat: u64) {
        let is_pending =
            |watermark: &Watermark| heartbeat.saturating_sub(watermark.heartbeat) < MAX_WATERMARK_AGE;
        if self.watermark.as_ref().is_none_or(|watermark| !is_pending(watermark)) {
            self.watermark = Some(Watermark { heartbeat, position: self.send_position() });
        }
    }

    /// It acknowledged a heartbeat that was sent at `sent_at`, with its log agreeing up to
    /// `matched`. Renews its lease, and sends again whatever was sent before the watermark and has
    /// not arrived.
    pub(super) fn on_heartbeat_ack(
        &mut self, heartbeat: u64, sent_at: Duration, matched: u64, now: Duration,
    ) {
        self.lease_start = self.lease_start.max(Some(sent_at));
        self.last_ack_at = now;
        self.resend_lost(heartbeat, matched);
    }

    /// The next epoch begins: what was sent in the one before is rejected, and not acknowledged any
    /// more.
    pub(super) fn start_epoch(&mut self, last_index: u64) {
        self.watermark = None;
        if self.snapshot().is_some() {
            self.is_send_due = true;
        } else {
            self.probe_from(self.matched.unwrap_or(last_index) + 1);
        }
    }

    /// Whether another append may be sent.
    pub(super) fn has_window(&self) -> bool {
        self.in_flight.len() < MAX_IN_FLIGHT
    }

    /// Whether a message is to be sent to it now.
    pub(super) fn is_due(&self, last_index: u64) -> bool {
        match self.state {
            SendState::Probe | SendState::Snapshot(_) => self.is_send_due,
            SendState::Replicate => self.next_index <= last_index && self.has_window(),
        }
    }

    /// An append up to this index was sent.
    pub(super) fn on_append_sent(&mut self, last_index: u64) {
        self.next_index = last_index + 1;
        self.in_flight.push_back(last_index);
    }

    /// Its log agrees and is on disk up to `index`.
    pub(super) fn on_appended(&mut self, index: u64, now: Duration) {
        if self.matched.is_none_or(|matched| matched < index) {
            self.matched = Some(index);
            self.pending_since = now;
        }
        while self.in_flight.pop_front_if(|last| *last <= index).is_some() {}
        if self.is_probing() {
            self.state = SendState::Replicate;
            self.next_index = index + 1;
        }
        self.next_index = self.next_index.max(index + 1);
    }

    /// Starts its timeouts anew.
    pub(super) fn reset_timeouts(&mut self, now: Duration) {
        self.last_ack_at = now;
        self.pending_since = now;
    }

    /// Whether it has left a heartbeat or an entry unacknowledged for longer than `max_lag`.
    pub(super) fn is_lagging(&self, now: Duration, last_index: u64, max_lag: Duration) -> bool {
        let is_behind = self.matched.is_none_or(|matched| matched < last_index);
        let is_timed_out = now.saturating_sub(self.last_ack_at) > max_lag;
        is_timed_out || (is_behind && now.saturating_sub(self.pending_since) > max_lag)
    }

    /// Whether its lease, counted from the sending of a heartbeat that it acknowledged, runs.
    pub(super) fn grants_lease(&self, now: Duration, lease: Duration) -> bool {
        self.lease_start.is_some_and(|start| now.saturating_sub(start) < lease)
    }

    /// How far sending has come: changes whenever something moves.
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
