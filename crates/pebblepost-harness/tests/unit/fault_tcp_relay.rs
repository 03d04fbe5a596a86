//! What a relay does to the bytes of a connection.

use pebblepost_harness::fault::tcp_relay::{LinkState, Relay};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const SHORT: Duration = Duration::from_millis(150);
const LONG: Duration = Duration::from_secs(5);

/// An echo server behind a relay, and a connection through it.
async fn echo() -> (Relay, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.into_split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    let relay = Relay::open([127, 0, 9, 1].into(), target).await.expect("a free port");
    let stream = TcpStream::connect(relay.address).await.expect("a relay");
    (relay, stream)
}

async fn read_echo(stream: &mut TcpStream, limit: Duration) -> Option<u8> {
    let mut byte = [0];
    timeout(limit, stream.read_exact(&mut byte)).await.ok()?.ok()?;
    Some(byte[0])
}

#[tokio::test(flavor = "multi_thread")]
async fn held_bytes_arrive_late_and_none_is_lost() {
    let (relay, mut stream) = echo().await;
    for (n, link) in
        [LinkState::Partitioned, LinkState::RequestsHeld, LinkState::RepliesHeld].into_iter().enumerate()
    {
        relay.set_link_state(link);
        stream.write_all(&[n as u8]).await.expect("open");
        assert_eq!(read_echo(&mut stream, SHORT).await, None, "{link:?}");
        relay.set_link_state(LinkState::Forwarding);
        assert_eq!(read_echo(&mut stream, LONG).await, Some(n as u8), "{link:?}");
    }
    assert_eq!(relay.bytes_forwarded(), 6);
    relay.set_link_state(LinkState::Partitioned);
    let mut fresh = TcpStream::connect(relay.address).await.expect("accepts and says nothing");
    fresh.write_all(&[9]).await.expect("open");
    assert_eq!(read_echo(&mut fresh, SHORT).await, None);
    relay.set_link_state(LinkState::Forwarding);
    assert_eq!(read_echo(&mut fresh, LONG).await, Some(9));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reset_breaks_open_connections_and_new_ones_pass() {
    let (relay, mut stream) = echo().await;
    stream.write_all(&[1]).await.expect("open");
    assert_eq!(read_echo(&mut stream, LONG).await, Some(1));
    relay.reset_connections();
    let mut byte = [0];
    let end = timeout(LONG, stream.read(&mut byte)).await.expect("it ends");
    assert!(end.is_err(), "reset, not closed: {end:?}");
    let mut fresh = TcpStream::connect(relay.address).await.expect("a relay");
    fresh.write_all(&[2]).await.expect("open");
    assert_eq!(read_echo(&mut fresh, LONG).await, Some(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn delayed_and_throttled_links_are_slow() {
    let (relay, mut stream) = echo().await;
    relay.set_link_state(LinkState::Delayed(100));
    let start = tokio::time::Instant::now();
    stream.write_all(&[1]).await.expect("open");
    assert_eq!(read_echo(&mut stream, LONG).await, Some(1));
    assert!(start.elapsed() >= Duration::from_millis(200), "{:?}", start.elapsed());
    relay.set_link_state(LinkState::Throttled(200));
    stream.write_all(&[0; 40]).await.expect("open");
    let start = tokio::time::Instant::now();
    let mut all = [0; 40];
    timeout(LONG, stream.read_exact(&mut all)).await.expect("in time").expect("all of it");
    assert!(start.elapsed() >= Duration::from_millis(150), "{:?}", start.elapsed());
}
