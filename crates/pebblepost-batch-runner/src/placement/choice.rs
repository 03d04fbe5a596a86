//! Placement rule: which of the probed transcribers takes a group of items, and how many of the items.
//!
//! One random transcriber is probed first. If its outstanding requests are fewer than its slots less one, and its
//! free slots hold the whole group, the group goes there. Otherwise further random transcribers are probed until
//! one meets this condition, up to [`MAX_PROBES`] in total. If none does, the group goes to the one with the fewest
//! outstanding requests of all probed, with ties broken at random, and is split if that transcriber lacks capacity
//! for all of it.
//!
//! # Differences from the rule in `pebblepost-dispatch`
//!
//! `pebblepost-dispatch` implements the same rule of the design for jobs that it places one by one. The two
//! implementations are separate on purpose: only the first step is the same, and a shared implementation would
//! change the number and order of the random draws, and with them every later decision.
//!
//! * Here a *group* of items with a common prompt is placed as a whole and split only if necessary, and the load of
//!   a transcriber is one number. In `pebblepost-dispatch` a job takes slots and memory units of one worker.
//! * Here the threshold is one slot below the total, whatever the total is, and up to three transcribers are probed
//!   one after the other. In `pebblepost-dispatch` the threshold depends on the number of slots, and two workers are
//!   probed, and more in other zones.
//! * Here the candidates are the proxy's subset of a service ([`super::subset`]), those of its own zone first, and
//!   they must serve an allowed weight version. In `pebblepost-dispatch` candidates are drawn from all eligible
//!   workers.
//! * Here a short queue at a transcriber is allowed ([`QueueLimit`]), so that the next text starts as soon as a slot
//!   becomes free. In `pebblepost-dispatch` a job waits at the dispatcher unless its value outlasts the queue.
//!
//! This module has no state and no I/O.

use crate::random::Random;

/// Maximum number of transcribers probed for one placement.
pub const MAX_PROBES: usize = 3;
/// Maximum number of probes in the proxy's own zone. If a probed transcriber there has capacity, no other zone is
/// probed.
pub const MAX_LOCAL_PROBES: usize = 2;

/// Load of a probed transcriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbedLoad {
    /// Number of requests that the transcriber runs concurrently.
    pub slots: u32,
    /// Requests at the transcriber, both running and queued.
    pub outstanding: u32,
}

impl ProbedLoad {
    /// Returns the number of free slots.
    pub fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.outstanding)
    }

    /// Returns whether a group of `items` items is placed here without another probe.
    ///
    /// A group larger than the transcriber is treated as a group of `slots` items.
    pub fn accepts(&self, items: u32) -> bool {
        self.outstanding < self.accept_threshold() && self.free_slots() >= items.min(self.slots)
    }

    /// Returns the number of outstanding requests from which on another transcriber is probed.
    fn accept_threshold(&self) -> u32 {
        self.slots.saturating_sub(1).max(1)
    }

    /// Returns how many more items may be sent to the transcriber.
    fn capacity(&self, queue_limit: QueueLimit) -> u32 {
        match queue_limit {
            QueueLimit::FreeSlotsOnly => self.free_slots(),
            QueueLimit::PercentOfSlots(percent) => {
                let queue = (self.slots * percent).div_ceil(100);
                (self.slots + queue).saturating_sub(self.outstanding)
            }
        }
    }
}

/// Limit of the queue at a transcriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueLimit {
    /// No queue: only free slots are used.
    FreeSlotsOnly,
    /// A queue of up to this percentage of the slots.
    PercentOfSlots(u32),
}

/// The transcriber chosen by [`choose`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index in the list of probed transcribers.
    pub index: usize,
    /// Number of items to send there.
    pub items: u32,
}

/// Chooses the first transcriber that accepts the whole group, or else the one with the fewest outstanding requests,
/// with ties broken at random.
///
/// Returns `None` if no transcriber was probed or the chosen one has no capacity. Draws no random number if a
/// transcriber accepts the group.
pub fn choose(probed: &[ProbedLoad], items: u32, queue_limit: QueueLimit, random: &Random) -> Option<Choice> {
    if let Some(index) = probed.iter().position(|load| load.accepts(items)) {
        return Some(Choice { index, items: items.min(probed[index].capacity(queue_limit)) });
    }
    let fewest_outstanding = probed.iter().map(|load| load.outstanding).min()?;
    let tied: Vec<usize> =
        (0..probed.len()).filter(|index| probed[*index].outstanding == fewest_outstanding).collect();
    let index = *random.pick(&tied)?;
    let capacity = probed[index].capacity(queue_limit);
    (capacity > 0).then_some(Choice { index, items: items.min(capacity) })
}
