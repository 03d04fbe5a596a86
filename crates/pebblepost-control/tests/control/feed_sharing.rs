//! The feed of a fleet: what a primary spends on hundreds of subscribers that come, or are sent something, at once.

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

const SUBSCRIBERS: ConnectionId = 300;
const ROUTES: u64 = 1_440;
/// Longest time over which the updates of such a fleet are coalesced.
const FLUSH: Duration = Duration::from_millis(75);

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

/// A publisher with a large configuration and many transcribers.
fn publisher() -> FeedPublisher {
    let mut publisher = FeedPublisher::new(Duration::ZERO, FeedState::default());
    let document = large_configuration(3, ROUTES);
    publisher.publish_configuration(Duration::ZERO, 3, || published(3, document));
    let instances: Vec<Instance> = (0..130).map(instance).collect();
    publisher.publish_instances(Duration::ZERO, &instances, Urgency::Coalesced);
    publisher.flush(Duration::ZERO);
    publisher
}

/// All subscribers come at once, with this version of the configuration.
fn subscribe_all(publisher: &mut FeedPublisher, generation: u64) {
    for connection in 1..=SUBSCRIBERS {
        let node = format!("edge-{connection}");
        publisher.subscribe(Duration::ZERO, connection, node, SubscriberRole::Agent, generation);
    }
}

fn sent(publisher: &mut FeedPublisher) -> Vec<(u64, SharedUpdates)> {
    let actions = publisher.take_actions().into_iter();
    let batch = |action| match action {
        FeedAction::Send { sequence, updates, .. } => Some((sequence, updates)),
        FeedAction::KeepAlive { .. } | FeedAction::Disconnect { .. } => None,
    };
    actions.filter_map(batch).collect()
}

/// The different allocations among these batches.
fn allocations(batches: &[(u64, SharedUpdates)]) -> usize {
    let mut distinct: Vec<&SharedUpdates> = Vec::new();
    for (_, updates) in batches {
        if !distinct.iter().any(|known| Rc::ptr_eq(known, updates)) {
            distinct.push(updates);
        }
    }
    distinct.len()
}

#[rstest]
fn subscribers_that_come_at_once_get_one_snapshot_and_one_flush() {
    let mut publisher = publisher();
    subscribe_all(&mut publisher, 0);
    let snapshots = sent(&mut publisher);
    assert_eq!(snapshots.len(), 300, "a batch for each subscriber, and none because others came");
    assert_eq!(allocations(&snapshots), 1);
    publisher.tick(FLUSH);
    let flushed = sent(&mut publisher);
    assert_eq!(flushed.len(), 300);
    assert_eq!(allocations(&flushed), 1);
    assert_eq!(&*flushed[0].1, &[FeedUpdate::ProxyCount(300)]);
}

#[rstest]
fn a_snapshot_is_made_anew_once_something_was_published() {
    let mut publisher = publisher();
    subscribe_all(&mut publisher, 3);
    sent(&mut publisher);
    publisher.publish_instances(Duration::ZERO, &[instance(500)], Urgency::Coalesced);
    publisher.subscribe(Duration::ZERO, 301, "edge-301".into(), SubscriberRole::Agent, 3);
    let mut state = FeedState::default();
    sent(&mut publisher).iter().for_each(|(_, updates)| {
        state.apply_all(updates);
    });
    assert!(state.instance("i-000001f4").is_some(), "what waits for the flush is in the snapshot");
}

#[rstest]
fn updates_that_wait_for_a_flush_reach_a_subscriber_that_comes_before_it() {
    let mut publisher = publisher();
    publisher.publish_instances(Duration::ZERO, &[instance(500)], Urgency::Coalesced);
    publisher.subscribe(Duration::ZERO, 1, "edge-1".into(), SubscriberRole::Agent, 0);
    publisher.tick(FLUSH);
    let batches = sent(&mut publisher);
    let sequences: Vec<u64> = batches.iter().map(|(sequence, _)| *sequence).collect();
    assert_eq!(sequences, [1, 2]);
    let newest = publisher.newest_flush();
    publisher.acknowledge(FLUSH, 1, &FeedReply::Acknowledge { sequence: 1, generation: 3 });
    assert!(!publisher.is_acknowledged(newest));
    publisher.acknowledge(FLUSH, 1, &FeedReply::Acknowledge { sequence: 2, generation: 3 });
    assert!(publisher.is_acknowledged(newest));
}

#[rstest]
fn a_change_is_one_allocation_for_those_with_its_base_and_one_for_the_others() {
    let mut publisher = publisher();
    subscribe_all(&mut publisher, 3);
    publisher.subscribe(Duration::ZERO, 301, "edge-301".into(), SubscriberRole::Agent, 3);
    publisher.tick(FLUSH);
    sent(&mut publisher);
    let patch = PublishedPatch { base: 3, patch: b"{\"generation\":4}".to_vec() };
    let next = PublishedConfiguration {
        generation: 4,
        document: large_configuration(4, ROUTES),
        patch: Some(patch),
    };
    publisher.publish_configuration(FLUSH, 4, || next);
    publisher.flush_if_due(FLUSH);
    let batches = sent(&mut publisher);
    assert_eq!((batches.len(), allocations(&batches)), (301, 1));
}

#[rstest]
fn hundreds_of_routes_and_transcribers_are_compressed_to_a_fifth() {
    let mut publisher = publisher();
    let patch = PublishedPatch { base: 3, patch: large_configuration(4, ROUTES) };
    let plain_bytes = patch.patch.len();
    let next = PublishedConfiguration { generation: 4, document: configuration(4, 10), patch: Some(patch) };
    publisher.subscribe(Duration::ZERO, 1, "edge-1".into(), SubscriberRole::Agent, 3);
    sent(&mut publisher);
    publisher.publish_configuration(Duration::ZERO, 4, || next);
    publisher.flush_if_due(Duration::ZERO);
    let (_, updates) = sent(&mut publisher).pop().expect("a batch");
    let compressed = compress_updates(&updates).expect("it is long enough");
    assert!(
        compressed.compressed.len() * 5 < plain_bytes,
        "{} of {plain_bytes}",
        compressed.compressed.len()
    );
}

#[rstest]
#[case::small(16, Duration::from_millis(20))]
#[case::large(300, Duration::from_millis(75))]
fn updates_are_coalesced_for_longer_the_more_subscribers_there_are(
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
