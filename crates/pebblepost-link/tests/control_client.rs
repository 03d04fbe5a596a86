//! Finding and keeping the control primary, against scripted processes over loopback.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use pebblepost_link::control_client::{CONTROL_LINK_LIMITS, ControlClient, ControlEvent, ControlSender};
use pebblepost_link::{LinkLimits, Listener, Receiver, Sender};
use pebblepost_messages::control::{FromControl, SubscriberRole, ToControl};
use pebblepost_messages::feed::{FeedBatch, FeedReply};
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

/// A client that subscribes with a higher generation on every connection.
fn start(candidates: Vec<SocketAddr>) -> (ControlSender, mpsc::Receiver<ControlEvent>) {
    let connections = Rc::new(Cell::new(0));
    ControlClient::start(candidates, LIMITS, move || {
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
async fn reports_a_lost_primary_and_tries_the_members_it_named() {
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
async fn a_reconnect_subscribes_again() {
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
