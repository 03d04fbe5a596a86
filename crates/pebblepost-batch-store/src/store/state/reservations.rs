//! Memory of this machine that is reserved for jobs which are about to be replicated to it, or proposed by it.
//!
//! The memory of a job counts here from the time at which its primary asks for it until the job is part of the state
//! of its store group.

use pebblepost_messages::DiskId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a reservation ends if its job has not become part of the state, for instance because its primary
/// has failed.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Identifies a reservation: the disk of the primary that asked for it, and the number of the submission there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReservationId {
    pub(crate) primary: DiskId,
    pub(crate) submission: u64,
}

/// Reserved memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reservation {
    pub(crate) group_id: u32,
    pub(crate) job: String,
    pub(crate) bytes: u64,
}

/// All reservations of this machine.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    /// Reservations with the time at which they end.
    by_id: BTreeMap<ReservationId, (Duration, Reservation)>,
}

impl Reservations {
    /// Adds a reservation, or replaces the one with the same id.
    pub(crate) fn insert(&mut self, now: Duration, id: ReservationId, reservation: Reservation) {
        self.by_id.insert(id, (now + RESERVATION_TIMEOUT, reservation));
    }

    /// Returns whether this reservation exists.
    pub(crate) fn contains(&self, id: ReservationId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Removes a reservation, if it exists.
    pub(crate) fn remove(&mut self, id: ReservationId) {
        self.by_id.remove(&id);
    }

    /// Removes the reservations that have ended, and those whose job is part of the state.
    pub(crate) fn remove_ended(&mut self, now: Duration, is_stored: impl Fn(&Reservation) -> bool) {
        self.by_id.retain(|_, (ends_at, reservation)| now < *ends_at && !is_stored(reservation));
    }

    /// Returns the reserved memory in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.by_id.values().map(|(_, reservation)| reservation.bytes).sum()
    }
}
