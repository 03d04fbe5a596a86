//! Choice of a transcriber among those that were probed.
//!
//! A random transcriber is probed; if it has fewer than its slots less one busy, and free slots
//! for the whole group of samples, the group goes there. Otherwise further random ones are probed
//! and the group goes to the fewest-busy of all probed, split if it has too few free slots. The
//! first ones are drawn in the proxy's own zone.

use crate::random::Random;

/// Transcribers probed at most for one placement.
pub const MOST_PROBES: usize = 3;
/// Of these, transcribers of the proxy's own zone: where they have room, no others are probed.
pub const NEAR_PROBES: usize = 2;

/// Load of a transcriber that was probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probed {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that it has, running and waiting.
    pub busy: u32,
}

impl Probed {
    /// Slots that are free.
    pub fn free(&self) -> u32 {
        self.slots.saturating_sub(self.busy)
    }

    /// Whether it takes a group of so many items without another probe; of a group larger than any transcriber, as many
    /// as it has slots.
    pub fn accepts(&self, items: u32) -> bool {
        self.busy < self.threshold() && self.free() >= items.min(self.slots)
    }

    /// Busy slots from which another transcriber is probed.
    fn threshold(&self) -> u32 {
        self.slots.saturating_sub(1).max(1)
    }
}

/// How far a request may go into a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queueing {
    /// Only into free slots.
    None,
    /// A short queue is fine: this many parts in a hundred of the slots.
    UpTo(u32),
}

/// Index of the chosen transcriber and how many of the items it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index among those probed.
    pub index: usize,
    /// Items that go there.
    pub items: u32,
}

/// The fewest-busy of those probed, ties at random; `None` if all are full.
pub fn choose(probed: &[Probed], items: u32, queueing: Queueing, random: &Random) -> Option<Choice> {
    if let Some(index) = probed.iter().position(|probed| probed.accepts(items)) {
        return Some(Choice { index, items: items.min(room(probed[index], queueing)) });
    }
    let fewest = probed.iter().map(|probed| probed.busy).min()?;
    let tied: Vec<usize> = (0..probed.len()).filter(|index| probed[*index].busy == fewest).collect();
    let index = *random.pick(&tied)?;
    let room = room(probed[index], queueing);
    (room > 0).then_some(Choice { index, items: items.min(room) })
}

/// How many items more a transcriber may be sent.
fn room(probed: Probed, queueing: Queueing) -> u32 {
    match queueing {
        Queueing::None => probed.free(),
        Queueing::UpTo(percent) => {
            let queue = (probed.slots * percent).div_ceil(100);
            (probed.slots + queue).saturating_sub(probed.busy)
        }
    }
}
