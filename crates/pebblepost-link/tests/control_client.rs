//! Tests of the control client against scripted control nodes over loopback.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use pebblepost_feed::compression::compress_updates;
use pebblepost_link::control_client::{
    CONTROL_LINK_LIMITS, ControlClient, ControlEvent, ControlSender, FeedAssembler,
};
use pebblepost_link::{LinkLimits, Listener, Receiver, Sender};
use pebblepost_messages::control::{FromControl, SubscriberRole, ToControl};
use pebblepost_messages::feed::{CompressedUpdates, FeedBatch, FeedReply, FeedUpdate, ModelVersion};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

const LIMITS: LinkLimits = LinkLimits {
    connect_timeout: Duration::from_secs(5),
    read_timeout: Duration::from_secs(60),
    ..CONTROL_LINK_LIMITS
};

fn listener() -> (Listener, SocketAddr) {
    let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)), LIMITS).unwrap();
    let address = listener.local_address().unwrap();
    (listener, address)
}

fn subscribe(generation: u64) -> ToControl {
    let (node, zone) = ("edge-1".to_owned(), "north".to_owned());
    ToControl::Subscribe { node, zone, role: SubscriberRole::Agent, generation }
}

/// Starts a client that subscribes with the number of the connection as generation.
fn start(seeds: Vec<SocketAddr>) -> (ControlSender, mpsc::Receiver<ControlEvent>) {
    let connections = Rc::new(Cell::new(0));
    ControlClient::start(seeds, LIMITS, move || {
        connections.set(connections.get() + 1);
        vec![subscribe(connections.get())]
    })
}

async fn accept(listener: &mut Listener, generation: u64) -> (Sender, Receiver) {
    let (sender, mut receiver) = listener.accept().await.unwrap();
    assert_eq!(receiver.receive::<ToControl>().await.unwrap(), subscribe(generation));
    (sender, receiver)
}

fn batch(sequence: u64) -> FromControl {
    FromControl::Feed(FeedBatch { sequence, updates: Vec::new() })
}

#[tokio::test]
async fn follows_a_redirect_and_delivers_messages() {
    let exchange = async {
        let (mut standby, standby_address) = listener();
        let (mut primary, primary_address) = listener();
        let (control, mut events) = start(vec![standby_address]);

        let (redirecting, _receiver) = accept(&mut standby, 1).await;
        let members = vec![standby_address.to_string(), primary_address.to_string()];
        redirecting.send(&FromControl::Redirect { primary: Some(primary_address.to_string()), members });
        redirecting.close();
        assert!(!control.is_connected());
        assert!(!control.send(&ToControl::Status));

        let (sender, mut replies) = accept(&mut primary, 2).await;
        sender.send(&FromControl::KeepAlive);
        assert_eq!(events.recv().await, Some(ControlEvent::Connected(primary_address)));
        sender.send(&batch(1));
        assert_eq!(events.recv().await, Some(ControlEvent::Message(batch(1))));
        let reply = ToControl::Reply(FeedReply::Acknowledge { sequence: 1, generation: 0 });
        assert!(control.send(&reply));
        assert_eq!(replies.receive::<ToControl>().await.unwrap(), reply);
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn reports_a_lost_primary_and_connects_to_another_member() {
    let exchange = async {
        let (mut first, first_address) = listener();
        let (mut second, second_address) = listener();
        let (_control, mut events) = start(vec![first_address]);

        let (sender, receiver) = accept(&mut first, 1).await;
        sender.send(&FromControl::Members(vec![second_address.to_string(), "nonsense".to_owned()]));
        assert_eq!(events.recv().await, Some(ControlEvent::Connected(first_address)));
        drop(first);
        drop((sender, receiver));
        assert_eq!(events.recv().await, Some(ControlEvent::Disconnected));

        let (sender, _receiver) = second.accept().await.unwrap();
        sender.send(&FromControl::KeepAlive);
        assert_eq!(events.recv().await, Some(ControlEvent::Connected(second_address)));
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn reconnecting_sends_a_new_subscription() {
    let exchange = async {
        let (mut primary, address) = listener();
        let (control, mut events) = start(vec![address]);
        let (sender, mut receiver) = accept(&mut primary, 1).await;
        sender.send(&FromControl::KeepAlive);
        assert_eq!(events.recv().await, Some(ControlEvent::Connected(address)));
        control.reconnect();
        assert!(receiver.receive::<ToControl>().await.is_err());
        assert_eq!(events.recv().await, Some(ControlEvent::Disconnected));
        accept(&mut primary, 2).await;
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn added_seeds_are_tried() {
    let exchange = async {
        let (mut primary, address) = listener();
        let (control, mut events) = start(Vec::new());
        control.add_seeds(&[address]);
        let (sender, _receiver) = accept(&mut primary, 1).await;
        sender.send(&FromControl::KeepAlive);
        assert_eq!(events.recv().await, Some(ControlEvent::Connected(address)));
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn sends_heartbeats_while_idle() {
    let exchange = async {
        let (mut primary, address) = listener();
        let (_control, mut events) = start(vec![address]);
        let (sender, mut receiver) = accept(&mut primary, 1).await;
        sender.send(&FromControl::KeepAlive);
        events.recv().await;
        tokio::time::pause();
        let start = tokio::time::Instant::now();
        for _ in 0..3 {
            assert_eq!(receiver.receive::<ToControl>().await.unwrap(), ToControl::KeepAlive);
        }
        assert!(start.elapsed() <= Duration::from_millis(1501), "{:?}", start.elapsed());
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn dropping_the_event_receiver_closes_the_link() {
    let exchange = async {
        let (mut primary, address) = listener();
        let (control, events) = start(vec![address]);
        let (sender, mut receiver) = accept(&mut primary, 1).await;
        sender.send(&FromControl::KeepAlive);
        drop(events);
        assert!(receiver.receive::<ToControl>().await.is_err());
        assert!(!control.is_connected());
    };
    LocalSet::new().run_until(exchange).await;
}

fn many_versions() -> Vec<FeedUpdate> {
    let version = |number: u64| ModelVersion { model: format!("model-{number}"), generation: number };
    vec![FeedUpdate::NamedVersions((0..100).map(version).collect())]
}

#[test]
fn shared_updates_are_added_to_the_next_batch_only() {
    let mut assembler = FeedAssembler::default();
    let shared = compress_updates(&many_versions()).unwrap();
    assert_eq!(assembler.receive(FromControl::SharedUpdates(shared)).unwrap(), None);
    assert_eq!(assembler.receive(FromControl::KeepAlive).unwrap(), Some(FromControl::KeepAlive));
    let own = FeedUpdate::ProxyCount(3);
    let batch = FromControl::Feed(FeedBatch { sequence: 7, updates: vec![own.clone()] });
    let mut updates = many_versions();
    updates.push(own);
    let assembled = FromControl::Feed(FeedBatch { sequence: 7, updates });
    assert_eq!(assembler.receive(batch).unwrap(), Some(assembled));
    let next = FromControl::Feed(FeedBatch { sequence: 8, updates: Vec::new() });
    assert_eq!(assembler.receive(next.clone()).unwrap(), Some(next));
}

#[test]
fn a_redirect_drops_shared_updates_of_an_unsent_batch() {
    let mut assembler = FeedAssembler::default();
    let shared = compress_updates(&many_versions()).unwrap();
    assert_eq!(assembler.receive(FromControl::SharedUpdates(shared)).unwrap(), None);
    let redirect = FromControl::Redirect { primary: None, members: Vec::new() };
    assert_eq!(assembler.receive(redirect.clone()).unwrap(), Some(redirect));
    assert_eq!(assembler.receive(batch(1)).unwrap(), Some(batch(1)));
}

#[test]
fn invalid_shared_updates_are_an_error() {
    let valid = compress_updates(&many_versions()).unwrap();
    let too_long = CompressedUpdates { uncompressed_bytes: u64::MAX, ..valid.clone() };
    let too_short = CompressedUpdates { uncompressed_bytes: 3, ..valid.clone() };
    let truncated = CompressedUpdates { compressed: valid.compressed[..9].to_vec(), ..valid.clone() };
    let compressed = miniz_oxide::deflate::compress_to_vec(&[0xff; 600], 3);
    let not_updates = CompressedUpdates { uncompressed_bytes: 600, compressed };
    for invalid in [too_long, too_short, truncated, not_updates] {
        assert!(FeedAssembler::default().receive(FromControl::SharedUpdates(invalid)).is_err());
    }
}

#[tokio::test]
async fn shared_updates_are_delivered_with_their_batch() {
    let exchange = async {
        let (mut primary, address) = listener();
        let (_control, mut events) = start(vec![address]);
        let (sender, _receiver) = accept(&mut primary, 1).await;
        sender.send(&FromControl::SharedUpdates(compress_updates(&many_versions()).unwrap()));
        sender.send(&batch(1));
        let assembled = FromControl::Feed(FeedBatch { sequence: 1, updates: many_versions() });
        assert_eq!(events.recv().await, Some(ControlEvent::Connected(address)));
        assert_eq!(events.recv().await, Some(ControlEvent::Message(assembled)));
    };
    LocalSet::new().run_until(exchange).await;
}
