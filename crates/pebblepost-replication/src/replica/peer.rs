//! What the primary knows of another replica.

use super::message::MOST_PAYLOAD;
use pebblepost_messages::Member;
use std::collections::VecDeque;
use std::time::Duration;

/// Appends that may be under way to one replica.
const MOST_IN_FLIGHT: usize = 16;

/// Beacons after which the confirmation of a marker is not waited for any more.
const MOST_MARKER_AGE: u64 = 20;

/// A snapshot on its way to a replica.
#[derive(Debug)]
pub(super) struct OutgoingSnapshot {
    pub(super) index: u64,
    pub(super) index_epoch: u64,
    pub(super) data: Vec<u8>,
    pub(super) offset: usize,
}

impl OutgoingSnapshot {
    /// The next piece.
    pub(super) fn part(&self) -> &[u8] {
        let end = self.data.len().min(self.offset + MOST_PAYLOAD);
        &self.data[self.offset..end]
    }
}

/// Another replica, as the primary sees it.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// Its log agrees and is on disk up to here; `None` before that is known in this epoch.
    pub(super) confirmed: Option<u64>,
    /// Next entry to send.
    pub(super) next: u64,
    /// One append at a time is sent until the logs are known to agree.
    pub(super) is_probing: bool,
    /// The next probe, or piece of the snapshot, is to be sent.
    pub(super) is_probe_due: bool,
    /// Last indexes of the appends under way.
    pub(super) in_flight: VecDeque<u64>,
    pub(super) snapshot: Option<OutgoingSnapshot>,
    /// When the newest beacon that it confirmed was sent.
    pub(super) lease_from: Option<Duration>,
    /// When it last confirmed a beacon, or was added.
    pub(super) answered_at: Duration,
    /// Since when it has not confirmed any entry although some are waiting.
    pub(super) waiting_since: Duration,
    /// The beacon by whose confirmation it is seen whether something was lost.
    marker: Option<Marker>,
}

/// How far sending had come when a beacon went out. What was sent before it has arrived before it.
#[derive(Clone, Copy, Debug)]
struct Marker {
    beacon: u64,
    position: u64,
}

impl Peer {
    pub(super) fn new(member: Member, next: u64, now: Duration) -> Self {
        Self {
            member,
            confirmed: None,
            next,
            is_probing: true,
            is_probe_due: true,
            in_flight: VecDeque::new(),
            snapshot: None,
            lease_from: None,
            answered_at: now,
            waiting_since: now,
            marker: None,
        }
    }

    /// Starts over at `next`: one append, then the rest once it is confirmed.
    pub(super) fn probe_from(&mut self, next: u64) {
        self.next = next;
        self.is_probing = true;
        self.is_probe_due = true;
        self.in_flight.clear();
    }

    /// How far sending has come: changes whenever something moves.
    pub(super) fn position(&self) -> u64 {
        self.snapshot.as_ref().map_or(self.next, |snapshot| snapshot.offset as u64)
    }

    /// A beacon goes out to it. One that is not confirmed yet stays the marker, however long the way is, unless its
    /// confirmation must be lost.
    pub(super) fn mark(&mut self, beacon: u64) {
        let is_under_way = |marker: &Marker| beacon.saturating_sub(marker.beacon) < MOST_MARKER_AGE;
        if self.marker.as_ref().is_none_or(|marker| !is_under_way(marker)) {
            self.marker = Some(Marker { beacon, position: self.position() });
        }
    }

    /// It confirmed a beacon, with its log agreeing up to `matched`: whatever was sent before the marker and has not
    /// arrived is sent again.
    pub(super) fn find_lost(&mut self, beacon: u64, matched: u64) {
        let Some(marker) = self.marker.take_if(|marker| beacon >= marker.beacon) else { return };
        if self.is_probing || self.snapshot.is_some() {
            self.is_probe_due |= marker.position == self.position();
        } else if matched + 1 < marker.position {
            self.probe_from(matched.max(self.confirmed.unwrap_or(0)) + 1);
        }
    }

    /// The next epoch begins: what was sent in the one before is refused, and confirmed no more.
    pub(super) fn start_epoch(&mut self, last_index: u64) {
        self.marker = None;
        if self.snapshot.is_some() {
            self.is_probe_due = true;
        } else {
            self.probe_from(self.confirmed.unwrap_or(last_index) + 1);
        }
    }

    pub(super) fn has_window(&self) -> bool {
        self.in_flight.len() < MOST_IN_FLIGHT
    }

    /// Whether a message is to be sent to it now.
    pub(super) fn has_something_due(&self, last_index: u64) -> bool {
        if self.is_probing || self.snapshot.is_some() {
            return self.is_probe_due;
        }
        self.next <= last_index && self.has_window()
    }

    /// Its log agrees and is on disk up to `index`.
    pub(super) fn confirm(&mut self, index: u64, now: Duration) {
        if self.confirmed.is_none_or(|confirmed| confirmed < index) {
            self.confirmed = Some(index);
            self.waiting_since = now;
        }
        while self.in_flight.front().is_some_and(|last| *last <= index) {
            self.in_flight.pop_front();
        }
        if self.is_probing && self.snapshot.is_none() {
            self.is_probing = false;
            self.next = index + 1;
        }
        self.next = self.next.max(index + 1);
    }

    /// Whether it has left a beacon or an entry unconfirmed for longer than `most_lag`.
    pub(super) fn is_lagging(&self, now: Duration, last_index: u64, most_lag: Duration) -> bool {
        let is_behind = self.confirmed.is_none_or(|confirmed| confirmed < last_index);
        let is_silent = now.saturating_sub(self.answered_at) > most_lag;
        is_silent || (is_behind && now.saturating_sub(self.waiting_since) > most_lag)
    }

    /// The replica's lease, counted from the sending of a beacon that it confirmed.
    pub(super) fn holds_lease(&self, now: Duration, lease: Duration) -> bool {
        self.lease_from.is_some_and(|from| now.saturating_sub(from) < lease)
    }
}
