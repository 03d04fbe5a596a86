//! News still to be passed on, each piece a bounded number of times.

use crate::member::Update;

struct Item {
    update: Update,
    sent: u32,
}

/// The queue of news, the least often sent first.
#[derive(Default)]
pub(crate) struct Gossip {
    items: Vec<Item>,
}

impl Gossip {
    /// Adds news in place of older news about the same member.
    pub(crate) fn push(&mut self, update: Update) {
        self.items.retain(|item| item.update.member.name != update.member.name);
        self.items.insert(0, Item { update, sent: 0 });
    }

    /// The news in the order in which it should be sent.
    pub(crate) fn updates(&self) -> impl Iterator<Item = &Update> {
        self.items.iter().map(|item| &item.update)
    }

    /// The first `count` updates have been sent; those sent `most` times are dropped.
    pub(crate) fn sent(&mut self, count: usize, most: u32) {
        for item in &mut self.items[..count] {
            item.sent += 1;
        }
        self.items.retain(|item| item.sent < most);
        self.items.sort_by_key(|item| item.sent);
    }
}
