//! Updates still to be disseminated, each a bounded number of times.

use crate::member::Update;

struct QueuedUpdate {
    update: Update,
    sent_count: u32,
}

/// The queue of updates, the least often sent first.
#[derive(Default)]
pub(crate) struct GossipQueue {
    queued: Vec<QueuedUpdate>,
}

impl GossipQueue {
    /// Adds an update in place of an older one about the same member.
    pub(crate) fn push(&mut self, update: Update) {
        self.queued.retain(|queued| queued.update.member.name != update.member.name);
        self.queued.insert(0, QueuedUpdate { update, sent_count: 0 });
    }

    /// The updates in the order in which they should be sent.
    pub(crate) fn updates(&self) -> impl Iterator<Item = &Update> {
        self.queued.iter().map(|queued| &queued.update)
    }

    /// The first `count` updates have been sent; those sent `limit` times are dropped.
    pub(crate) fn on_sent(&mut self, count: usize, limit: u32) {
        for queued in &mut self.queued[..count] {
            queued.sent_count += 1;
        }
        self.queued.retain(|queued| queued.sent_count < limit);
        self.queued.sort_by_key(|queued| queued.sent_count);
    }
}
