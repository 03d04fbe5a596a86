//! The placement rule: which of the probed transcribers takes a group of items, and how many of them.
//!
//! A random transcriber is probed. If it has fewer than its slots less one busy, and free slots for the
//! whole group, the group goes there. Otherwise further random ones are probed, up to [`MAX_PROBES`], and
//! the group goes to the least busy of all probed, ties broken at random; it is split if that one lacks
//! capacity for all of it.
//!
//! # Difference from the rule of the decision module
//!
//! `pebblepost-dispatch` holds the same rule of the design for jobs that it places one by one. The two stay
//! apart: only their first sentence is the same, and a common rule would change the number and order of the
//! random draws, and with them every decision after the first.
//!
//! * Here a *group* of items, which share their prompt, is placed as one and split only where it must be; a
//!   transcriber's load is one number. There a job takes slots and memory units of one worker.
//! * Here the threshold is one slot below all, whatever their number, and up to three are probed, one after the
//!   other. There the threshold follows from the number of slots and two are probed, and more in other zones.
//! * Here candidates are the proxy's subset of a service ([`super::subset`]), those of its own zone first, and
//!   the versions of their weights matter. There they are drawn among all eligible workers.
//! * Here a short queue at a transcriber is allowed ([`QueueLimit`]), so that the next text starts as soon as a
//!   slot opens. There a job waits at the dispatcher unless its value outlasts the queue.
//!
//! Holds no state, and sends nothing.

use crate::random::Random;

/// Probes for one placement at most.
pub const MAX_PROBES: usize = 3;
/// Of these, probes in the proxy's own zone: where it has capacity, no other zone is probed.
pub const MAX_LOCAL_PROBES: usize = 2;

/// Load of a transcriber that was probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbedLoad {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that it has, running and waiting.
    pub busy: u32,
}

impl ProbedLoad {
    /// Slots that are free.
    pub fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.busy)
    }

    /// Whether a group of this many items goes there without another probe. A group larger than the
    /// transcriber counts as one of its size.
    pub fn accepts(&self, items: u32) -> bool {
        self.busy < self.busy_threshold() && self.free_slots() >= items.min(self.slots)
    }

    /// Busy slots from which another transcriber is probed.
    fn busy_threshold(&self) -> u32 {
        self.slots.saturating_sub(1).max(1)
    }

    /// How many more items the transcriber may be sent.
    fn capacity(&self, queue_limit: QueueLimit) -> u32 {
        match queue_limit {
            QueueLimit::FreeSlotsOnly => self.free_slots(),
            QueueLimit::PercentOfSlots(percent) => {
                let queue = (self.slots * percent).div_ceil(100);
                (self.slots + queue).saturating_sub(self.busy)
            }
        }
    }
}

/// How long the queue at a transcriber may become.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueLimit {
    /// No queue: only free slots are used.
    FreeSlotsOnly,
    /// A queue of this percentage of the slots.
    PercentOfSlots(u32),
}

/// The chosen transcriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index among those probed.
    pub index: usize,
    /// Items that go there.
    pub items: u32,
}

/// The first transcriber that accepts the group, or the least busy with ties broken at random; `None` if that
/// one is full.
pub fn choose(probed: &[ProbedLoad], items: u32, queue_limit: QueueLimit, random: &Random) -> Option<Choice> {
    if let Some(index) = probed.iter().position(|load| load.accepts(items)) {
        return Some(Choice { index, items: items.min(probed[index].capacity(queue_limit)) });
    }
    let least_busy = probed.iter().map(|load| load.busy).min()?;
    let tied: Vec<usize> = (0..probed.len()).filter(|index| probed[*index].busy == least_busy).collect();
    let index = *random.pick(&tied)?;
    let capacity = probed[index].capacity(queue_limit);
    (capacity > 0).then_some(Choice { index, items: items.min(capacity) })
}
