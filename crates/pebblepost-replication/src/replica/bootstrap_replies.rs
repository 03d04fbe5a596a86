//! Replies of the members of the initial configuration, before the first primary is elected.

use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug)]
struct Reply {
    member: Member,
    received_at: Duration,
}

/// The latest reply of each empty member, and the time of the next queries.
#[derive(Debug)]
pub(super) struct BootstrapReplies {
    replies: BTreeMap<DiskId, Reply>,
    next_query_at: Duration,
}

impl BootstrapReplies {
    /// Creates the state without any replies; the first queries are due at once.
    pub(super) fn new(now: Duration) -> Self {
        Self { replies: BTreeMap::new(), next_query_at: now }
    }

    /// Starts the next queries if they are due. Returns whether they were.
    pub(super) fn start_query_if_due(&mut self, now: Duration, interval: Duration) -> bool {
        if now < self.next_query_at {
            return false;
        }
        self.next_query_at = now + interval;
        true
    }

    /// Records the reply of a member that holds no data.
    pub(super) fn on_reply(&mut self, member: &Member, now: Duration) {
        self.replies.insert(member.disk, Reply { member: member.clone(), received_at: now });
    }

    /// Iterates over the members whose reply is at most `max_age` old, ordered by disk.
    pub(super) fn replied_within(&self, now: Duration, max_age: Duration) -> impl Iterator<Item = &Member> {
        let is_recent = move |reply: &&Reply| now.saturating_sub(reply.received_at) <= max_age;
        self.replies.values().filter(is_recent).map(|reply| &reply.member)
    }
}
