//! The feed of a large fleet: hundreds of subscribers that connect or are sent an update at once share the same batch,
//! so that the primary builds, encodes and compresses it only once.

use crate::support::documents::{configuration, large_configuration};
use pebblepost_control::feed::{
    ConnectionId, FeedAction, FeedPublisher, PublishedConfiguration, PublishedPatch, SharedUpdates, Urgency,
};
use pebblepost_feed::FeedState;
use pebblepost_feed::compression::compress_updates;
use pebblepost_messages::control::SubscriberRole;
use pebblepost_messages::feed::{FeedReply, FeedUpdate, Instance};
use rstest::rstest;
use std::rc::Rc;
use std::time::Duration;

const SUBSCRIBER_COUNT: ConnectionId = 300;
const ROUTE_COUNT: u64 = 1_440;
/// Longest time for which updates are coalesced with this number of subscribers.
const MAX_COALESCING_DELAY: Duration = Duration::from_millis(75);

fn published(generation: u64, document: Vec<u8>) -> PublishedConfiguration {
    PublishedConfiguration { generation, document, patch: None }
}

fn instance(number: usize) -> Instance {
    Instance {
        id: format!("i-{number:08x}"),
        backend: "desk".into(),
        address: format!("10.9.{}.{}:8080", number / 250, number % 250),
        ..Instance::default()
    }
}

/// Returns a publisher with a large configuration and 130 instances.
fn publisher() -> FeedPublisher {
    let mut publisher = FeedPublisher::new(Duration::ZERO, FeedState::default());
    let document = large_configuration(3, ROUTE_COUNT);
    publisher.publish_configuration(Duration::ZERO, 3, || published(3, document));
    let instances: Vec<Instance> = (0..130).map(instance).collect();
    publisher.publish_instances(Duration::ZERO, &instances, Urgency::Coalesced);
    publisher.flush(Duration::ZERO);
    publisher
}

/// Subscribes all agents at the same time; each has this version of the configuration.
fn subscribe_all(publisher: &mut FeedPublisher, generation: u64) {
    for connection in 1..=SUBSCRIBER_COUNT {
        let node = format!("edge-{connection}");
        publisher.subscribe(Duration::ZERO, connection, node, SubscriberRole::Agent, generation);
    }
}

/// Takes the batches that the publisher sends, with their sequence numbers.
fn take_batches(publisher: &mut FeedPublisher) -> Vec<(u64, SharedUpdates)> {
    let actions = publisher.take_actions().into_iter();
    let batch = |action| match action {
        FeedAction::Send { sequence, updates, .. } => Some((sequence, updates)),
        FeedAction::KeepAlive { .. } | FeedAction::Disconnect { .. } => None,
    };
    actions.filter_map(batch).collect()
}

/// Returns the number of distinct allocations that hold the updates of these batches.
fn count_allocations(batches: &[(u64, SharedUpdates)]) -> usize {
    let mut distinct: Vec<&SharedUpdates> = Vec::new();
    for (_, updates) in batches {
        if !distinct.iter().any(|known| Rc::ptr_eq(known, updates)) {
            distinct.push(updates);
        }
    }
    distinct.len()
}

#[rstest]
fn simultaneous_subscribers_share_one_snapshot_and_one_flush() {
    let mut publisher = publisher();
    subscribe_all(&mut publisher, 0);
    let snapshots = take_batches(&mut publisher);
    assert_eq!(snapshots.len(), 300, "one batch for each subscriber, none for the subscription of others");
    assert_eq!(count_allocations(&snapshots), 1);
    publisher.tick(MAX_COALESCING_DELAY);
    let flushed = take_batches(&mut publisher);
    assert_eq!(flushed.len(), 300);
    assert_eq!(count_allocations(&flushed), 1);
    assert_eq!(&*flushed[0].1, &[FeedUpdate::ProxyCount(300)]);
}

#[rstest]
fn snapshot_is_rebuilt_after_an_update_is_published() {
    let mut publisher = publisher();
    subscribe_all(&mut publisher, 3);
    take_batches(&mut publisher);
    publisher.publish_instances(Duration::ZERO, &[instance(500)], Urgency::Coalesced);
    publisher.subscribe(Duration::ZERO, 301, "edge-301".into(), SubscriberRole::Agent, 3);
    let mut state = FeedState::default();
    take_batches(&mut publisher).iter().for_each(|(_, updates)| {
        state.apply_all(updates);
    });
    assert!(state.instance("i-000001f4").is_some(), "a snapshot contains updates that were not flushed yet");
}

#[rstest]
fn pending_updates_reach_a_subscriber_that_joins_before_the_flush() {
    let mut publisher = publisher();
    publisher.publish_instances(Duration::ZERO, &[instance(500)], Urgency::Coalesced);
    publisher.subscribe(Duration::ZERO, 1, "edge-1".into(), SubscriberRole::Agent, 0);
    publisher.tick(MAX_COALESCING_DELAY);
    let batches = take_batches(&mut publisher);
    let sequences: Vec<u64> = batches.iter().map(|(sequence, _)| *sequence).collect();
    assert_eq!(sequences, [1, 2]);
    let newest = publisher.newest_flush();
    publisher.acknowledge(MAX_COALESCING_DELAY, 1, &FeedReply::Acknowledge { sequence: 1, generation: 3 });
    assert!(!publisher.is_acknowledged(newest));
    publisher.acknowledge(MAX_COALESCING_DELAY, 1, &FeedReply::Acknowledge { sequence: 2, generation: 3 });
    assert!(publisher.is_acknowledged(newest));
}

#[rstest]
fn subscribers_at_the_base_version_share_one_allocation_of_a_patch() {
    let mut publisher = publisher();
    subscribe_all(&mut publisher, 3);
    publisher.subscribe(Duration::ZERO, 301, "edge-301".into(), SubscriberRole::Agent, 3);
    publisher.tick(MAX_COALESCING_DELAY);
    take_batches(&mut publisher);
    let patch = PublishedPatch { base: 3, patch: b"{\"generation\":4}".to_vec() };
    let next = PublishedConfiguration {
        generation: 4,
        document: large_configuration(4, ROUTE_COUNT),
        patch: Some(patch),
    };
    publisher.publish_configuration(MAX_COALESCING_DELAY, 4, || next);
    publisher.flush_if_due(MAX_COALESCING_DELAY);
    let batches = take_batches(&mut publisher);
    assert_eq!((batches.len(), count_allocations(&batches)), (301, 1));
}

#[rstest]
fn patch_with_many_routes_is_compressed_to_less_than_a_fifth() {
    let mut publisher = publisher();
    let patch = PublishedPatch { base: 3, patch: large_configuration(4, ROUTE_COUNT) };
    let plain_bytes = patch.patch.len();
    let next = PublishedConfiguration { generation: 4, document: configuration(4, 10), patch: Some(patch) };
    publisher.subscribe(Duration::ZERO, 1, "edge-1".into(), SubscriberRole::Agent, 3);
    take_batches(&mut publisher);
    publisher.publish_configuration(Duration::ZERO, 4, || next);
    publisher.flush_if_due(Duration::ZERO);
    let (_, updates) = take_batches(&mut publisher).pop().expect("a batch");
    let compressed = compress_updates(&updates).expect("the updates are long enough to be compressed");
    assert!(
        compressed.compressed.len() * 5 < plain_bytes,
        "{} bytes of {plain_bytes}",
        compressed.compressed.len()
    );
}

#[rstest]
#[case::small(16, Duration::from_millis(20))]
#[case::large(300, Duration::from_millis(75))]
fn coalescing_delay_grows_with_the_number_of_subscribers(
    #[case] subscribers: ConnectionId, #[case] delay: Duration,
) {
    let mut publisher = publisher();
    for connection in 1..=subscribers {
        publisher.subscribe(Duration::ZERO, connection, "edge".into(), SubscriberRole::Agent, 3);
    }
    publisher.flush(Duration::ZERO);
    publisher.publish_instances(Duration::ZERO, &[instance(500)], Urgency::Coalesced);
    assert_eq!(publisher.due_at(), Some(delay));
    publisher.publish_instances(Duration::ZERO, &[instance(501)], Urgency::Immediate);
    assert_eq!(publisher.due_at(), Some(Duration::ZERO));
}
