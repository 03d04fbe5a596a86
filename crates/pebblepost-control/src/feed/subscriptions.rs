//! The subscribers of the feed and how far each has acknowledged it.

use pebblepost_messages::control::SubscriberRole;
use pebblepost_messages::feed::FeedReply;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number that identifies an inbound connection of this node. Numbers are never reused.
pub type ConnectionId = u64;

/// Time without an outgoing message after which a subscriber is sent a keep-alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an incoming message after which a subscriber is disconnected.
const SUBSCRIBER_TIMEOUT: Duration = Duration::from_secs(2);

/// Status of a subscriber for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// Name of the machine.
    pub node: String,
    /// Role of the subscriber.
    pub role: SubscriberRole,
    /// Version of the configuration that it has acknowledged.
    pub generation: u64,
    /// Number of flushes that it has not acknowledged yet.
    pub unacknowledged_flushes: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Subscription {
    node: String,
    role: SubscriberRole,
    /// Number of the flush up to which the first batch, the snapshot, contains all updates.
    first_flush: u64,
    acknowledged_flush: u64,
    sent_generation: u64,
    acknowledged_generation: u64,
    last_message: Duration,
    last_sent: Duration,
}

impl Subscription {
    /// Creates the subscription of a subscriber that has the configuration `generation` already.
    pub(super) fn new(
        now: Duration, node: String, role: SubscriberRole, first_flush: u64, generation: u64,
    ) -> Subscription {
        Subscription {
            node,
            role,
            first_flush,
            acknowledged_flush: 0,
            sent_generation: generation,
            acknowledged_generation: 0,
            last_message: now,
            last_sent: now,
        }
    }

    /// Returns the sequence number, on this subscription, of the batch that a flush sends. The first one is 1.
    pub(super) fn batch_sequence(&self, flush: u64) -> u64 {
        flush - self.first_flush + 1
    }

    /// Returns the version of the configuration that was sent last.
    pub(super) fn sent_generation(&self) -> u64 {
        self.sent_generation
    }
}

/// All subscriptions, by connection.
#[derive(Clone, Debug, Default)]
pub(super) struct Subscriptions {
    by_connection: BTreeMap<ConnectionId, Subscription>,
}

impl Subscriptions {
    pub(super) fn insert(&mut self, connection: ConnectionId, subscription: Subscription) {
        self.by_connection.insert(connection, subscription);
    }

    /// Removes a subscription, and returns its subscriber's role if there was one.
    pub(super) fn remove(&mut self, connection: ConnectionId) -> Option<SubscriberRole> {
        self.by_connection.remove(&connection).map(|subscription| subscription.role)
    }

    pub(super) fn get(&self, connection: ConnectionId) -> Option<&Subscription> {
        self.by_connection.get(&connection)
    }

    pub(super) fn len(&self) -> usize {
        self.by_connection.len()
    }

    pub(super) fn connections(&self) -> impl Iterator<Item = ConnectionId> {
        self.by_connection.keys().copied()
    }

    pub(super) fn into_connections(self) -> Vec<ConnectionId> {
        self.by_connection.into_keys().collect()
    }

    pub(super) fn record_message(&mut self, now: Duration, connection: ConnectionId) {
        if let Some(subscription) = self.by_connection.get_mut(&connection) {
            subscription.last_message = now;
        }
    }

    /// Processes an acknowledgement. Sequence number 0 acknowledges the configuration only.
    pub(super) fn acknowledge(
        &mut self, now: Duration, connection: ConnectionId, reply: &FeedReply, newest_flush: u64,
    ) {
        let Some(subscription) = self.by_connection.get_mut(&connection) else { return };
        let FeedReply::Acknowledge { sequence, generation } = reply;
        if *sequence > 0 {
            let flush = subscription.first_flush.saturating_add(sequence - 1).min(newest_flush);
            subscription.acknowledged_flush = subscription.acknowledged_flush.max(flush);
        }
        subscription.acknowledged_generation = subscription.acknowledged_generation.max(*generation);
        subscription.last_message = now;
    }

    /// Returns whether every subscriber has acknowledged all flushes up to `flush`.
    pub(super) fn is_acknowledged(&self, flush: u64) -> bool {
        self.by_connection.values().all(|subscription| subscription.acknowledged_flush >= flush)
    }

    /// Records that a batch was sent, after which the subscriber has the configuration `generation`.
    pub(super) fn record_batch(&mut self, now: Duration, connection: ConnectionId, generation: u64) {
        if let Some(subscription) = self.by_connection.get_mut(&connection) {
            subscription.last_sent = now;
            subscription.sent_generation = subscription.sent_generation.max(generation);
        }
    }

    /// Records that a keep-alive was sent.
    pub(super) fn record_keep_alive(&mut self, now: Duration, connection: ConnectionId) {
        if let Some(subscription) = self.by_connection.get_mut(&connection) {
            subscription.last_sent = now;
        }
    }

    /// Returns the subscribers that have timed out.
    pub(super) fn timed_out(&self, now: Duration) -> Vec<ConnectionId> {
        self.matching(|subscription| now.saturating_sub(subscription.last_message) >= SUBSCRIBER_TIMEOUT)
    }

    /// Returns the subscribers for which a keep-alive is due.
    pub(super) fn idle(&self, now: Duration) -> Vec<ConnectionId> {
        self.matching(|subscription| now.saturating_sub(subscription.last_sent) >= KEEP_ALIVE_INTERVAL)
    }

    /// Returns the number of subscribed agents, which is the number of connected proxies.
    pub(super) fn agent_count(&self) -> usize {
        let is_agent = |subscription: &&Subscription| subscription.role == SubscriberRole::Agent;
        self.by_connection.values().filter(is_agent).count()
    }

    pub(super) fn statuses(&self, newest_flush: u64) -> Vec<SubscriberStatus> {
        let status = |subscription: &Subscription| SubscriberStatus {
            node: subscription.node.clone(),
            role: subscription.role,
            generation: subscription.acknowledged_generation,
            unacknowledged_flushes: newest_flush.saturating_sub(subscription.acknowledged_flush),
        };
        self.by_connection.values().map(status).collect()
    }

    fn matching(&self, is_match: impl Fn(&Subscription) -> bool) -> Vec<ConnectionId> {
        let matching = self.by_connection.iter().filter(|(_, subscription)| is_match(subscription));
        matching.map(|(connection, _)| *connection).collect()
    }
}
