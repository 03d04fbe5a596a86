//! Tests of the effect of a relay's link states on connections.

use pebblepost_harness::fault::tcp_relay::{LinkState, Relay};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time after which a byte counts as held.
const HOLD_TIMEOUT: Duration = Duration::from_millis(150);
/// Time within which a forwarded byte must arrive.
const ECHO_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts an echo server behind a relay and opens a connection through it.
async fn connect_to_echo_server() -> (Relay, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = listener.local_addr().expect("a bound listener");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.into_split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    let relay = Relay::open([127, 0, 9, 1].into(), target).await.expect("a free port");
    let stream = TcpStream::connect(relay.address).await.expect("the relay accepts connections");
    (relay, stream)
}

async fn read_echo(stream: &mut TcpStream, limit: Duration) -> Option<u8> {
    let mut byte = [0];
    timeout(limit, stream.read_exact(&mut byte)).await.ok()?.ok()?;
    Some(byte[0])
}

#[tokio::test(flavor = "multi_thread")]
async fn held_bytes_are_delivered_once_the_link_forwards_again() {
    let (relay, mut stream) = connect_to_echo_server().await;
    for (n, link) in
        [LinkState::Partitioned, LinkState::RequestsHeld, LinkState::RepliesHeld].into_iter().enumerate()
    {
        relay.set_link_state(link);
        stream.write_all(&[n as u8]).await.expect("an open connection");
        assert_eq!(read_echo(&mut stream, HOLD_TIMEOUT).await, None, "{link:?}");
        relay.set_link_state(LinkState::Forwarding);
        assert_eq!(read_echo(&mut stream, ECHO_TIMEOUT).await, Some(n as u8), "{link:?}");
    }
    assert_eq!(relay.bytes_forwarded(), 6);
    relay.set_link_state(LinkState::Partitioned);
    let mut new_stream =
        TcpStream::connect(relay.address).await.expect("a partitioned relay accepts connections");
    new_stream.write_all(&[9]).await.expect("an open connection");
    assert_eq!(read_echo(&mut new_stream, HOLD_TIMEOUT).await, None);
    relay.set_link_state(LinkState::Forwarding);
    assert_eq!(read_echo(&mut new_stream, ECHO_TIMEOUT).await, Some(9));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reset_closes_open_connections_and_allows_new_ones() {
    let (relay, mut stream) = connect_to_echo_server().await;
    stream.write_all(&[1]).await.expect("an open connection");
    assert_eq!(read_echo(&mut stream, ECHO_TIMEOUT).await, Some(1));
    relay.reset_connections();
    let mut byte = [0];
    let end = timeout(ECHO_TIMEOUT, stream.read(&mut byte)).await.expect("the connection ends");
    assert!(end.is_err(), "the connection must be reset, not closed: {end:?}");
    let mut new_stream = TcpStream::connect(relay.address).await.expect("the relay accepts connections");
    new_stream.write_all(&[2]).await.expect("an open connection");
    assert_eq!(read_echo(&mut new_stream, ECHO_TIMEOUT).await, Some(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn delayed_and_throttled_links_take_the_minimum_time() {
    let (relay, mut stream) = connect_to_echo_server().await;
    relay.set_link_state(LinkState::Delayed(100));
    let start = tokio::time::Instant::now();
    stream.write_all(&[1]).await.expect("an open connection");
    assert_eq!(read_echo(&mut stream, ECHO_TIMEOUT).await, Some(1));
    assert!(start.elapsed() >= Duration::from_millis(200), "{:?}", start.elapsed());
    relay.set_link_state(LinkState::Throttled(200));
    stream.write_all(&[0; 40]).await.expect("an open connection");
    let start = tokio::time::Instant::now();
    let mut all = [0; 40];
    timeout(ECHO_TIMEOUT, stream.read_exact(&mut all)).await.expect("an echo in time").expect("all bytes");
    assert!(start.elapsed() >= Duration::from_millis(150), "{:?}", start.elapsed());
}
