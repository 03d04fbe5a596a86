//! Queue of the updates to disseminate. Each update is sent a bounded number of times.

use crate::member::Update;

struct QueuedUpdate {
    update: Update,
    /// Number of datagrams that have carried the update.
    sent_count: u32,
}

/// The queue of updates, ordered by how often they were sent, least often first.
#[derive(Default)]
pub(crate) struct GossipQueue {
    queued: Vec<QueuedUpdate>,
}

impl GossipQueue {
    /// Adds an update, which replaces a queued one about the same member.
    pub(crate) fn push(&mut self, update: Update) {
        self.queued.retain(|queued| queued.update.member.name != update.member.name);
        self.queued.insert(0, QueuedUpdate { update, sent_count: 0 });
    }

    /// Iterates over the updates in the order in which they are to be sent.
    pub(crate) fn updates(&self) -> impl Iterator<Item = &Update> {
        self.queued.iter().map(|queued| &queued.update)
    }

    /// Records that the first `count` updates were sent. Updates that were sent `limit` times are dropped.
    pub(crate) fn on_sent(&mut self, count: usize, limit: u32) {
        for queued in &mut self.queued[..count] {
            queued.sent_count += 1;
        }
        self.queued.retain(|queued| queued.sent_count < limit);
        self.queued.sort_by_key(|queued| queued.sent_count);
    }
}
