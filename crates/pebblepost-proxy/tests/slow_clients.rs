//! Clients that read their responses slowly, or not at all.

#[expect(dead_code, reason = "each test program uses a part of the support")]
mod support;

use rstest::rstest;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::transcriber::success;
use support::{ConnectionLimits, ProxyFixture, configuration_with_limits, post, run};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Size of a response, which the buffers of the operating system do not take as a whole.
const RESPONSE_BYTES: usize = 12_000_000;
/// Idle time of the configuration, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 400;
/// Bytes that a slow client reads at a time, and the pause after them.
const READ_BYTES: usize = 500_000;
const READ_PAUSE: Duration = Duration::from_millis(60);
/// Pause of a client between two reads that stays within the idle time, while no byte can be written.
const LONG_PAUSE: Duration = Duration::from_millis(300);

/// Connects with a small receive buffer.
async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(65_536).expect("a buffer size");
    socket.connect(address).await.expect("connected")
}

async fn fixture() -> ProxyFixture {
    let mut fixture = ProxyFixture::bare(8.0);
    fixture.add("pages", "i-1").await;
    let limits = ConnectionLimits { idle_timeout_ms: IDLE_TIMEOUT_MS, ..ConnectionLimits::default() };
    fixture.proxy.apply(&[configuration_with_limits(1, limits)]);
    fixture.script.borrow_mut().replies = vec![success(&"p".repeat(RESPONSE_BYTES))].into();
    fixture
}

/// Sends a request and reads the head of its response. Returns how many bytes of the body came with it.
async fn request(client: &mut TcpStream, id: &str) -> usize {
    client.write_all(post("/pages/1", id, "x").replace('\n', "\r\n").as_bytes()).await.expect("written");
    let mut received = Vec::new();
    loop {
        let mut buffer = [0; 4096];
        let length = client.read(&mut buffer).await.expect("readable");
        assert!(length > 0, "closed within the head: {}", String::from_utf8_lossy(&received));
        received.extend_from_slice(&buffer[..length]);
        if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            assert!(
                received.starts_with(b"HTTP/1.1 200 OK"),
                "{}",
                String::from_utf8_lossy(&received[..end])
            );
            return received.len() - end - 4;
        }
    }
}

/// Reads up to `limit` bytes. Returns fewer if the connection ends.
async fn read(client: &mut TcpStream, limit: usize) -> usize {
    let mut buffer = vec![0; limit];
    let mut count = 0;
    while count < limit {
        match client.read(&mut buffer[count..]).await {
            Ok(0) | Err(_) => break,
            Ok(length) => count += length,
        }
    }
    count
}

/// Guards against: a response that is cut while its client reads it, because the connection counts as idle from the moment
/// at which the response was handed on for writing (`docs/incidents/answers-cut-while-they-were-read.md`).
#[rstest]
#[case::steadily(READ_PAUSE)]
#[case::with_long_pauses(LONG_PAUSE)]
fn a_response_is_not_cut_while_its_client_reads_it(#[case] pause: Duration) {
    run(async move {
        let fixture = fixture().await;
        let mut client = connect(fixture.proxy.client_address()).await;
        let started = Instant::now();
        let mut received = request(&mut client, "r1").await;
        while received < RESPONSE_BYTES {
            let length = read(&mut client, READ_BYTES.min(RESPONSE_BYTES - received)).await;
            assert!(length > 0, "closed after {received} bytes, {:?}", started.elapsed());
            received += length;
            tokio::time::sleep(pause).await;
        }
        assert!(started.elapsed() > 2 * Duration::from_millis(IDLE_TIMEOUT_MS), "the client was not slow");
        request(&mut client, "r2").await;
    });
}

/// Guards against: a connection that is kept for a client which reads nothing any more.
#[test]
fn a_connection_whose_client_stops_reading_is_closed_after_the_idle_time() {
    run(async {
        let fixture = fixture().await;
        let mut client = connect(fixture.proxy.client_address()).await;
        let mut received = request(&mut client, "r1").await;
        tokio::time::sleep(4 * Duration::from_millis(IDLE_TIMEOUT_MS)).await;
        received += read(&mut client, RESPONSE_BYTES - received).await;
        assert!(received < RESPONSE_BYTES, "the connection was kept");
    });
}
