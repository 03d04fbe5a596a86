//! Bulk data on many links: pacing, messages encoded once for several links, and messages that replace the queue.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use nanoserde::{DeBin, SerBin};
use pebblepost_link::{EncodedMessage, LinkLimits, Listener, Pacer, Receiver, Sender, connect};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::{LocalSet, yield_now};
use tokio::time::Instant;

const LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 64 * 1024 * 1024,
    max_queued_bytes: 64 * 1024 * 1024,
    connect_timeout: Duration::from_secs(5),
    read_timeout: Duration::from_secs(60),
};

#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
struct Message {
    number: u64,
    body: Vec<u8>,
}

fn message(number: u64, length: usize) -> Message {
    Message { number, body: vec![7; length] }
}

/// Opens a link. Returns the sender of the accepting end, the receiver of the connecting end, and the two other halves,
/// which have to be kept for the link to stay open.
async fn link(listener: &mut Listener) -> (Sender, Receiver, (Sender, Receiver)) {
    let address = listener.local_address().unwrap();
    let (connected, accepted) = tokio::join!(connect(address, LIMITS), listener.accept());
    let (sender, accepted_receiver) = accepted.unwrap();
    let (connected_sender, receiver) = connected.unwrap();
    (sender, receiver, (connected_sender, accepted_receiver))
}

fn listener() -> Listener {
    Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)), LIMITS).unwrap()
}

#[test]
fn a_pacer_allows_a_burst_of_20_ms_and_then_its_rate() {
    let start = Instant::now();
    let pacer = Pacer::new(1_000_000);
    let later = start + Duration::from_secs(1);
    let grants: Vec<Instant> = (0..100).map(|_| pacer.reserve(later, 10_000)).collect();
    let at_once = grants.iter().filter(|grant| **grant <= later).count();
    assert_eq!(at_once, 3, "two grants in the burst of 20 ms, and the one that exceeds it");
    let last = *grants.last().unwrap();
    assert_eq!(last - later, Duration::from_millis(99 * 10 - 20));
}

#[test]
fn an_idle_pacer_accumulates_no_more_than_its_burst() {
    let pacer = Pacer::new(1_000_000);
    let later = Instant::now() + Duration::from_secs(3600);
    let granted = (0..1000).take_while(|_| pacer.reserve(later, 1000) <= later).count();
    assert_eq!(granted, 21);
}

#[tokio::test]
async fn encoded_and_plain_messages_arrive_in_the_order_sent() {
    let exchange = async {
        let mut listener = listener();
        let (sender, mut receiver, _ends) = link(&mut listener).await;
        for number in (0..200).step_by(2) {
            let shared = EncodedMessage::new(&message(number, 20_000)).unwrap();
            assert!(sender.send_encoded(&shared));
            assert!(sender.send(&message(number + 1, 10)));
        }
        for number in 0..200 {
            let length = if number % 2 == 0 { 20_000 } else { 10 };
            assert_eq!(receiver.receive::<Message>().await.unwrap(), message(number, length));
        }
        assert_eq!(sender.queued_bytes(), 0);
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn an_encoded_message_over_the_limit_closes_the_link() {
    let exchange = async {
        let limits = LinkLimits { max_frame_bytes: 1000, ..LIMITS };
        let mut listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)), limits).unwrap();
        let (sender, _receiver, _ends) = link(&mut listener).await;
        assert!(!sender.send_encoded(&EncodedMessage::new(&message(1, 1001)).unwrap()));
        assert!(sender.is_closed());
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn a_message_that_replaces_the_queue_drops_queued_messages() {
    let exchange = async {
        let mut listener = listener();
        let (sender, mut receiver, _ends) = link(&mut listener).await;
        // The 40 messages exceed the capacity of the socket buffers, so that some stay queued.
        let bulk = EncodedMessage::new(&message(1, 1_000_000)).unwrap();
        let sent = 40;
        for _ in 0..sent {
            assert!(sender.send_encoded(&bulk));
        }
        for _ in 0..10 {
            yield_now().await;
        }
        assert!(sender.send_replacing_queue(&message(2, 10)));
        sender.close();
        let mut received = 0;
        while receiver.receive::<Message>().await.unwrap().number == 1 {
            received += 1;
        }
        assert!(received < sent, "all {received} queued messages were delivered");
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn replacing_the_queue_of_a_new_link_keeps_the_preamble() {
    let exchange = async {
        let mut listener = listener();
        let (sender, mut receiver, _ends) = link(&mut listener).await;
        assert!(sender.send_replacing_queue(&message(2, 10)));
        assert_eq!(receiver.receive::<Message>().await.unwrap(), message(2, 10));
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test(start_paused = true)]
async fn a_heartbeat_is_not_delayed_by_paced_bulk_data_of_other_links() {
    let exchange = async {
        let mut listener = listener().with_pacer(Pacer::new(100_000));
        let (bulk, _bulk_receiver, _bulk_ends) = link(&mut listener).await;
        let (heartbeats, mut receiver, _ends) = link(&mut listener).await;
        assert!(bulk.send(&message(1, 1_000_000)));
        for _ in 0..10 {
            yield_now().await;
        }
        assert!(bulk.queued_bytes() > 900_000, "the bulk data must still wait for the pacer");
        let start = Instant::now();
        assert!(heartbeats.send(&message(2, 10)));
        assert_eq!(receiver.receive::<Message>().await.unwrap(), message(2, 10));
        assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    };
    LocalSet::new().run_until(exchange).await;
}
