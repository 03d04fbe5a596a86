//! Links over real loopback sockets.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use nanoserde::{DeBin, SerBin};
use pebblepost_link::{LinkLimits, Listener, Receiver, SendOutcome, Sender, connect};
use rstest::rstest;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local, yield_now};

const LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 4 * 1024 * 1024,
    max_queued_bytes: 8 * 1024 * 1024,
    connect_timeout: Duration::from_secs(5),
    read_timeout: Duration::from_secs(60),
};
const PREAMBLE: &[u8] = b"pbplink1";

#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
struct Message {
    number: u64,
    body: Vec<u8>,
}

fn message(number: u64, length: usize) -> Message {
    Message { number, body: (0..length).map(|index| (index % 251) as u8).collect() }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

struct Ends {
    left: (Sender, Receiver),
    right: (Sender, Receiver),
}

async fn link_ends(limits: LinkLimits) -> Ends {
    let mut listener = Listener::bind(loopback(), limits).unwrap();
    let address = listener.local_address().unwrap();
    let (left, right) = tokio::join!(connect(address, limits), listener.accept());
    Ends { left: left.unwrap(), right: right.unwrap() }
}

/// Creates a link whose peer is a plain socket.
async fn link_to_raw_socket(limits: LinkLimits) -> (TcpStream, Sender, Receiver) {
    let mut listener = Listener::bind(loopback(), limits).unwrap();
    let address = listener.local_address().unwrap();
    let (stream, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (sender, receiver) = accepted.unwrap();
    (stream.unwrap(), sender, receiver)
}

async fn receive_error(receiver: &mut Receiver) -> String {
    receiver.receive::<Message>().await.unwrap_err().to_string()
}

fn frame(body: &[u8]) -> Vec<u8> {
    let mut bytes = PREAMBLE.to_vec();
    bytes.extend_from_slice(&u32::try_from(body.len()).unwrap().to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

#[tokio::test]
async fn messages_of_all_sizes_arrive_intact_and_in_order_in_both_directions() {
    let exchange = async {
        let mut ends = link_ends(LIMITS).await;
        let sizes = [0, 1, 3, 4096, 65_536, 100_000, 1_500_000, 2, 0];
        for (number, size) in sizes.into_iter().enumerate() {
            assert!(ends.left.0.send(&message(number as u64, size)));
            assert!(ends.right.0.send(&message(100 + number as u64, size)));
        }
        for (number, size) in sizes.into_iter().enumerate() {
            assert_eq!(ends.right.1.receive::<Message>().await.unwrap(), message(number as u64, size));
        }
        for (number, size) in sizes.into_iter().enumerate() {
            assert_eq!(ends.left.1.receive::<Message>().await.unwrap(), message(100 + number as u64, size));
        }
        assert_eq!((ends.left.0.queued_bytes(), ends.right.0.queued_bytes()), (0, 0));
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn receiving_is_cancel_safe() {
    let exchange = async {
        let mut ends = link_ends(LIMITS).await;
        for number in 0..200 {
            ends.left.0.send(&message(number, 5000));
        }
        let mut expected = 0;
        while expected < 200 {
            tokio::select! {
                biased;
                received = ends.right.1.receive::<Message>() => {
                    assert_eq!(received.unwrap(), message(expected, 5000));
                    expected += 1;
                }
                () = yield_now() => {}
            }
        }
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn closing_a_link_flushes_its_send_queue() {
    let exchange = async {
        let mut ends = link_ends(LIMITS).await;
        ends.left.0.send(&message(1, 300_000));
        ends.left.0.close();
        assert!(!ends.left.0.send(&message(2, 1)));
        assert!(ends.left.0.is_closed());
        assert!(receive_error(&mut ends.left.1).await.ends_with("closed locally"));
        assert_eq!(ends.right.1.receive::<Message>().await.unwrap(), message(1, 300_000));
        assert!(receive_error(&mut ends.right.1).await.ends_with(": closed by the peer"));
        assert!(ends.right.0.is_closed());
        assert!(!ends.right.0.send(&message(3, 1)));
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn closing_wakes_a_waiting_receiver() {
    let exchange = async {
        let ends = link_ends(LIMITS).await;
        let (sender, mut receiver) = ends.left;
        let waiting = spawn_local(async move { receive_error(&mut receiver).await });
        yield_now().await;
        sender.close();
        assert!(waiting.await.unwrap().ends_with("closed locally"));
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn dropping_the_receiver_closes_the_link() {
    let exchange = async {
        let mut ends = link_ends(LIMITS).await;
        drop(ends.left.1);
        assert!(ends.left.0.is_closed());
        assert!(receive_error(&mut ends.right.1).await.ends_with("closed by the peer"));
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn every_receive_on_a_closed_link_returns_the_same_error() {
    let exchange = async {
        let (stream, sender, mut receiver) = link_to_raw_socket(LIMITS).await;
        drop(stream);
        let error = receive_error(&mut receiver).await;
        assert_eq!(error, format!("link with {}: closed by the peer", sender.peer()));
        assert_eq!(receive_error(&mut receiver).await, error);
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn a_link_half_closed_by_the_peer_delivers_its_last_message_and_closes() {
    let exchange = async {
        let (mut stream, sender, mut receiver) = link_to_raw_socket(LIMITS).await;
        stream.write_all(&frame(&message(7, 3).serialize_bin())).await.unwrap();
        stream.shutdown().await.unwrap();
        assert_eq!(receiver.receive::<Message>().await.unwrap(), message(7, 3));
        assert!(receive_error(&mut receiver).await.ends_with("closed by the peer"));
        assert!(sender.is_closed());
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).await.unwrap();
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn a_connection_closed_inside_a_frame_is_an_error() {
    let exchange = async {
        let (mut stream, _sender, mut receiver) = link_to_raw_socket(LIMITS).await;
        let bytes = frame(&message(7, 30).serialize_bin());
        stream.write_all(&bytes[..bytes.len() - 1]).await.unwrap();
        stream.shutdown().await.unwrap();
        assert!(receive_error(&mut receiver).await.ends_with("inside a frame"));
    };
    LocalSet::new().run_until(exchange).await;
}

/// Encodes the body of a [`Message`] whose list announces `length` bytes and holds none.
fn message_with_announced_length(length: u64) -> Vec<u8> {
    let mut body = 1u64.to_le_bytes().to_vec();
    body.extend_from_slice(&length.to_le_bytes());
    body
}

#[rstest]
#[case::another_protocol(b"GET / HTTP/1.1\r\n\r\n".to_vec(), "preamble mismatch: the peer uses another protocol or version")]
#[case::start_of_another_protocol(b"GE".to_vec(), "preamble mismatch: the peer uses another protocol or version")]
#[case::oversize(
    [PREAMBLE, &u32::MAX.to_le_bytes()].concat(),
    "frame of 4294967295 bytes exceeds the limit of 4194304 bytes"
)]
#[case::short_body(
    frame(&[1, 2, 3]),
    "frame of 3 bytes cannot be decoded: Bin deserialize error at:0 wanted:8 bytes but max size is 3"
)]
#[case::long_body(frame(&[message(1, 1).serialize_bin(), vec![0, 0]].concat()), "frame of 19 bytes has 2 trailing bytes")]
#[case::invalid_length(
    frame(&message_with_announced_length(u64::MAX)),
    "frame of 16 bytes contains an invalid length"
)]
#[case::empty_body(
    frame(&[]),
    "frame of 0 bytes cannot be decoded: Bin deserialize error at:0 wanted:8 bytes but max size is 0"
)]
#[tokio::test]
async fn invalid_bytes_close_the_link(#[case] bytes: Vec<u8>, #[case] reason: &str) {
    let exchange = async {
        let (mut stream, sender, mut receiver) = link_to_raw_socket(LIMITS).await;
        stream.write_all(&bytes).await.unwrap();
        let error = receive_error(&mut receiver).await;
        assert_eq!(error, format!("link with {}: {reason}", sender.peer()));
        assert!(sender.is_closed());
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn a_message_over_the_frame_limit_closes_the_link() {
    let exchange = async {
        let mut ends = link_ends(LinkLimits { max_frame_bytes: 1000, ..LIMITS }).await;
        assert!(!ends.left.0.send(&message(1, 1000)));
        assert!(
            receive_error(&mut ends.left.1)
                .await
                .ends_with("message to send exceeds the limit of 1000 bytes")
        );
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn a_full_send_queue_closes_the_link() {
    let exchange = async {
        let limits = LinkLimits { max_queued_bytes: 300_000, ..LIMITS };
        let mut ends = link_ends(limits).await;
        let mut sent = 0u64;
        while ends.left.0.send(&message(sent, 50_000)) {
            assert!(ends.left.0.queued_bytes() <= limits.max_queued_bytes);
            sent += 1;
            yield_now().await;
        }
        assert!(sent >= 5, "closed after {sent} messages");
        assert!(ends.left.0.is_closed());
        let error = receive_error(&mut ends.left.1).await;
        assert!(error.contains("send queue of ") && error.ends_with(" bytes exceeds the limit"), "{error}");
    };
    LocalSet::new().run_until(exchange).await;
}

/// Guards against: a message within the frame limit that can never be sent, because it exceeds the limit of the queue by
/// itself, and that closes the link each time (`docs/incidents/a-job-that-its-store-could-not-send.md`).
#[tokio::test]
async fn a_message_larger_than_the_queue_limit_is_sent() {
    let exchange = async {
        let limits = LinkLimits { max_queued_bytes: 300_000, ..LIMITS };
        let mut ends = link_ends(limits).await;
        assert!(ends.left.0.send(&message(1, 1000)));
        assert!(ends.left.0.send(&message(2, 3_000_000)));
        for (number, length) in [(1, 1000), (2, 3_000_000)] {
            assert_eq!(ends.right.1.receive::<Message>().await.unwrap(), message(number, length));
        }
    };
    LocalSet::new().run_until(exchange).await;
}

/// Guards against: a link that is closed by a heartbeat while it writes a large message, or whose queue grows without a
/// bound behind one.
#[tokio::test]
async fn messages_are_queued_up_to_the_limit_behind_one_larger_than_it() {
    let exchange = async {
        let limits = LinkLimits { max_queued_bytes: 300_000, ..LIMITS };
        let ends = link_ends(limits).await;
        assert!(ends.left.0.send(&message(1, 3_000_000)));
        assert!(ends.left.0.send(&message(2, 1)));
        assert!(ends.left.0.send(&message(3, 250_000)));
        assert!(!ends.left.0.send(&message(4, 100_000)));
        assert!(ends.left.0.is_closed());
    };
    LocalSet::new().run_until(exchange).await;
}

/// Guards against: two large messages that are queued together, beyond the memory that a link may hold.
#[tokio::test]
async fn a_second_message_larger_than_the_queue_limit_closes_the_link() {
    let exchange = async {
        let limits = LinkLimits { max_queued_bytes: 300_000, ..LIMITS };
        let ends = link_ends(limits).await;
        assert!(ends.left.0.send(&message(1, 3_000_000)));
        assert!(!ends.left.0.send(&message(2, 3_000_000)));
        assert!(ends.left.0.is_closed());
    };
    LocalSet::new().run_until(exchange).await;
}

/// Guards against: a link that is closed, with the heartbeats of all who share it, because several messages together exceed
/// its queue, and closed again when they are sent again (`docs/incidents/a-job-that-its-store-could-not-send.md`).
#[tokio::test]
async fn a_message_without_room_is_dropped_and_the_link_stays_open() {
    let exchange = async {
        let limits = LinkLimits { max_queued_bytes: 3_000_000, ..LIMITS };
        let mut ends = link_ends(limits).await;
        assert_eq!(ends.left.0.send_if_room(&message(1, 2_000_000)), SendOutcome::Queued);
        assert_eq!(ends.left.0.send_if_room(&message(2, 2_000_000)), SendOutcome::NoRoom);
        assert_eq!(ends.left.0.send_if_room(&message(3, 1)), SendOutcome::Queued);
        for (number, length) in [(1, 2_000_000), (3, 1)] {
            assert_eq!(ends.right.1.receive::<Message>().await.unwrap(), message(number, length));
        }
        assert_eq!(ends.left.0.send_if_room(&message(2, 2_000_000)), SendOutcome::Queued);
        assert_eq!(ends.right.1.receive::<Message>().await.unwrap(), message(2, 2_000_000));
    };
    LocalSet::new().run_until(exchange).await;
}

/// Guards against: the same by one message that exceeds the limit of the queue by itself.
#[tokio::test]
async fn a_message_larger_than_the_queue_limit_has_room_alone() {
    let exchange = async {
        let limits = LinkLimits { max_queued_bytes: 300_000, ..LIMITS };
        let mut ends = link_ends(limits).await;
        assert_eq!(ends.left.0.send_if_room(&message(1, 3_000_000)), SendOutcome::Queued);
        assert_eq!(ends.left.0.send_if_room(&message(2, 3_000_000)), SendOutcome::NoRoom);
        assert_eq!(ends.left.0.send_if_room(&message(3, 250_000)), SendOutcome::Queued);
        for (number, length) in [(1, 3_000_000), (3, 250_000)] {
            assert_eq!(ends.right.1.receive::<Message>().await.unwrap(), message(number, length));
        }
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn the_read_timeout_restarts_with_every_read() {
    let exchange = async {
        let read_timeout = Duration::from_millis(1500);
        let (mut stream, sender, mut receiver) =
            link_to_raw_socket(LinkLimits { read_timeout, ..LIMITS }).await;
        tokio::time::pause();
        stream.write_all(PREAMBLE).await.unwrap();
        let bytes = frame(&message(7, 3).serialize_bin());
        for _ in 0..5 {
            tokio::time::advance(Duration::from_millis(1400)).await;
            stream.write_all(&bytes[PREAMBLE.len()..]).await.unwrap();
            assert_eq!(receiver.receive::<Message>().await.unwrap(), message(7, 3));
        }
        let last = tokio::time::Instant::now();
        assert!(receive_error(&mut receiver).await.ends_with("no data received for 1500 ms"));
        // The timer rounds up to whole milliseconds.
        assert!((1500..=1501).contains(&last.elapsed().as_millis()), "{:?}", last.elapsed());
        assert!(sender.is_closed());
    };
    LocalSet::new().run_until(exchange).await;
}

#[tokio::test]
async fn a_connection_refused_error_contains_the_address() {
    let refused = async {
        let address = Listener::bind(loopback(), LIMITS).unwrap().local_address().unwrap();
        let result = connect(address, LIMITS).await;
        assert_eq!(result.unwrap_err().to_string(), format!("connecting to {address}"));
    };
    LocalSet::new().run_until(refused).await;
}

/// Tail of a message, in blocks of different sizes.
#[derive(Debug)]
struct Blocks(Vec<Vec<u8>>);

impl pebblepost_link::MessageTail for Blocks {
    fn blocks(&self) -> &[Vec<u8>] {
        &self.0
    }
}

/// Guards against: a message sent in blocks that arrives otherwise than one sent as a whole.
#[rstest]
#[case::no_block(0, 0)]
#[case::one_block(1, 1000)]
#[case::more_blocks_than_slices_of_a_write(300, 777)]
#[case::large_blocks(10, 300_000)]
#[tokio::test]
async fn a_message_with_a_tail_arrives_like_any_other(#[case] blocks: usize, #[case] block_bytes: usize) {
    LocalSet::new()
        .run_until(async move {
            let Ends { left, mut right } = link_ends(LIMITS).await;
            let sent = message(7, blocks * block_bytes);
            let encoded = sent.serialize_bin();
            let head_bytes = encoded.len() - blocks * block_bytes;
            let tail: Vec<Vec<u8>> =
                encoded[head_bytes..].chunks(block_bytes.max(1)).map(<[u8]>::to_vec).collect();
            let tail = Rc::new(Blocks(tail));
            assert!(left.0.send(&message(1, 10)));
            assert!(left.0.send_with_tail(&encoded[..head_bytes], tail.clone()));
            assert!(left.0.send(&message(2, 10)));
            assert_eq!(right.1.receive::<Message>().await.unwrap(), message(1, 10));
            assert_eq!(right.1.receive::<Message>().await.unwrap(), sent);
            assert_eq!(right.1.receive::<Message>().await.unwrap(), message(2, 10));
            assert_eq!((Rc::strong_count(&tail), left.0.queued_bytes()), (1, 0), "the tail is released");
        })
        .await;
}

#[tokio::test]
async fn a_message_with_a_tail_over_the_frame_limit_closes_the_link() {
    LocalSet::new()
        .run_until(async {
            let Ends { mut left, .. } = link_ends(LIMITS).await;
            let tail = Rc::new(Blocks(vec![vec![0; LIMITS.max_frame_bytes]]));
            assert!(!left.0.send_with_tail(b"x", tail));
            assert!(receive_error(&mut left.1).await.contains("4194304"));
        })
        .await;
}
