//! The HTTP front with real connections: what it hands in and what it writes back.

use pebblepost_control::api::{HttpRequest, HttpResponse, MAX_BODY_BYTES};
use pebblepost_control::runtime::http::{IncomingRequest, serve};
use pebblepost_control::runtime::max_request_connections;
use rstest::rstest;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

/// Connections that the front takes in these tests.
const MOST_CONNECTIONS: usize = 4;

/// Runs an exchange with a front whose calls are answered by `answer`; the calls that came.
fn exchange(answer: fn(&HttpRequest) -> HttpResponse, request: &'static [u8]) -> (Vec<HttpRequest>, String) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (calls, incoming) = mpsc::channel(8);
        spawn_local(serve(listener, calls, MOST_CONNECTIONS));
        let seen = Rc::new(RefCell::new(Vec::new()));
        spawn_local(answer_all(incoming, answer, Rc::clone(&seen)));
        let text = send(address, request).await;
        let calls = seen.take();
        (calls, text)
    })
}

/// Answers calls and notes them.
async fn answer_all(
    mut incoming: mpsc::Receiver<IncomingRequest>, answer: fn(&HttpRequest) -> HttpResponse,
    seen: Rc<RefCell<Vec<HttpRequest>>>,
) {
    while let Some(IncomingRequest { request: call, responder }) = incoming.recv().await {
        responder.send(answer(&call)).ok();
        seen.borrow_mut().push(call);
    }
}

async fn send(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(request).await.expect("sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    let text = String::from_utf8(answer).expect("text");
    text.lines().filter(|line| !line.starts_with("date:")).collect::<Vec<_>>().join("\n")
}

/// An answer that tells what was handed in.
fn echo(call: &HttpRequest) -> HttpResponse {
    let text =
        format!("{} {} {:?} {}", call.method, call.path, call.if_match, String::from_utf8_lossy(&call.body));
    HttpResponse { status: 200, location: None, body: text.into_bytes() }
}

fn redirect(call: &HttpRequest) -> HttpResponse {
    HttpResponse::redirect("10.0.0.4:8080".parse().expect("an address"), &call.path)
}

#[rstest]
#[case::length(
    b"PUT /config HTTP/1.1\r\nHost: a\r\nIf-Match: 5\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc",
    "PUT /config Some(\"5\") abc"
)]
#[case::chunks(
    b"PATCH /config HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    "PATCH /config None abc"
)]
#[case::delete(
    b"DELETE /instances/i-7f HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    "DELETE /instances/i-7f None "
)]
#[case::retire(
    b"GET /retire/storage-1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    "GET /retire/storage-1 None "
)]
fn calls_are_handed_in_whole(#[case] request: &'static [u8], #[case] expected: &str) {
    let (calls, answer) = exchange(echo, request);
    assert_eq!(calls.len(), 1);
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    assert!(answer.contains("content-type: application/json"), "{answer}");
    assert_eq!(answer.lines().last(), Some(expected), "{answer}");
}

#[rstest]
fn a_redirect_names_the_primary() {
    let (_, answer) = exchange(
        redirect,
        b"PUT /instances/i-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    );
    assert!(answer.starts_with("HTTP/1.1 307 "), "{answer}");
    assert!(answer.contains("location: http://10.0.0.4:8080/instances/i-1"), "{answer}");
}

#[rstest]
fn what_is_not_served_is_not_found() {
    let (calls, answer) = exchange(echo, b"GET /else HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 404 "), "{answer}");
    assert!(calls.is_empty());
}

#[rstest]
fn a_body_that_is_too_large_is_refused_by_its_length() {
    const { assert!(MAX_BODY_BYTES >= 32 * 1024 * 1024, "a configuration may have 32 MiB") };
    let (calls, answer) = exchange(
        echo,
        b"PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\nConnection: close\r\n\r\n",
    );
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert!(calls.is_empty());
}

#[rstest]
fn what_is_no_request_is_refused() {
    let (calls, answer) = exchange(echo, b"NONSENSE\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(calls.is_empty());
}

/// Opens connections and has each answered; how many of them were.
async fn answered_connections(address: SocketAddr, count: usize) -> usize {
    let mut open = Vec::new();
    for _ in 0..count {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        // A connection that was closed at once may refuse the bytes.
        stream.write_all(b"GET /config HTTP/1.1\r\nHost: a\r\n\r\n").await.ok();
        let mut first = [0; 12];
        if stream.read_exact(&mut first).await.is_ok() {
            assert_eq!(&first, b"HTTP/1.1 200");
            open.push(stream);
        }
    }
    open.len()
}

#[rstest]
fn connections_beyond_the_most_are_closed() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let answered = LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (calls, incoming) = mpsc::channel(8);
        spawn_local(serve(listener, calls, MOST_CONNECTIONS));
        spawn_local(answer_all(incoming, echo, Rc::default()));
        answered_connections(address, MOST_CONNECTIONS + 3).await
    });
    assert_eq!(answered, MOST_CONNECTIONS);
}

/// A process of a core machine has 4,096 descriptors, and each of a thousand transcribers keeps a
/// connection.
#[rstest]
fn as_many_calls_as_descriptors_allow() {
    assert!(max_request_connections(4096) > 1_500);
    assert!(max_request_connections(4096) < 2_500, "orders and links need descriptors too");
    assert_eq!(max_request_connections(0), 1);
}
