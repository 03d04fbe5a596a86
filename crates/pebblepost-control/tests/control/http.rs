//! The HTTP server on real connections: the requests that it submits, its responses, and its limits on connections and
//! on memory for bodies.

use pebblepost_control::api::{HttpRequest, HttpResponse, MAX_BODY_BYTES};
use pebblepost_control::runtime::body_budget::{BodyBudget, BodyReservation};
use pebblepost_control::runtime::http::{HttpLimits, IncomingRequest, OutgoingResponse, serve};
use pebblepost_control::runtime::max_request_connections;
use rstest::rstest;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

/// Connection limit of the server in these tests.
const MAX_CONNECTIONS: usize = 4;
const LIMITS: HttpLimits =
    HttpLimits { max_connections: MAX_CONNECTIONS, max_body_memory_bytes: MAX_BODY_BYTES };

/// Sends a request to a server with this handler. Returns the submitted requests and the response.
fn exchange(respond: fn(&HttpRequest) -> HttpResponse, request: &'static [u8]) -> (Vec<HttpRequest>, String) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (requests, incoming) = mpsc::channel(8);
        spawn_local(serve(listener, requests, LIMITS));
        let seen = Rc::new(RefCell::new(Vec::new()));
        spawn_local(respond_to_all(incoming, respond, Rc::clone(&seen)));
        let text = send(address, request).await;
        let requests = seen.take();
        (requests, text)
    })
}

/// Answers all requests with `respond` and records them in `seen`.
async fn respond_to_all(
    mut incoming: mpsc::Receiver<IncomingRequest>, respond: fn(&HttpRequest) -> HttpResponse,
    seen: Rc<RefCell<Vec<HttpRequest>>>,
) {
    while let Some(IncomingRequest { request, responder }) = incoming.recv().await {
        responder.send(OutgoingResponse { response: respond(&request), send_by: None }).ok();
        seen.borrow_mut().push(request);
    }
}

/// Sends a request on a new connection and reads the response to its end, without the `date` header.
async fn send(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(request).await.expect("sent");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("a response");
    let text = String::from_utf8(response).expect("text");
    text.lines().filter(|line| !line.starts_with("date:")).collect::<Vec<_>>().join("\n")
}

/// Returns a response whose body shows the submitted request.
fn echo(request: &HttpRequest) -> HttpResponse {
    let text = format!(
        "{} {} {:?} {}",
        request.method,
        request.path,
        request.if_match,
        String::from_utf8_lossy(&request.body)
    );
    HttpResponse { status: 200, body: text.into_bytes(), ..HttpResponse::default() }
}

fn redirect(request: &HttpRequest) -> HttpResponse {
    HttpResponse::redirect("10.0.0.4:8080".parse().expect("an address"), &request.path)
}

#[rstest]
#[case::content_length(
    b"PUT /config HTTP/1.1\r\nHost: a\r\nIf-Match: 5\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc",
    "PUT /config Some(\"5\") abc"
)]
#[case::chunked(
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
fn complete_requests_are_submitted(#[case] request: &'static [u8], #[case] expected: &str) {
    let (requests, response) = exchange(echo, request);
    assert_eq!(requests.len(), 1);
    assert!(response.starts_with("HTTP/1.1 200 OK"), "{response}");
    assert!(response.contains("content-type: application/json"), "{response}");
    assert_eq!(response.lines().last(), Some(expected), "{response}");
}

#[rstest]
fn redirect_names_the_primary() {
    let (_, response) = exchange(
        redirect,
        b"PUT /instances/i-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    );
    assert!(response.starts_with("HTTP/1.1 307 "), "{response}");
    assert!(response.contains("location: http://10.0.0.4:8080/instances/i-1"), "{response}");
}

#[rstest]
fn unknown_path_is_answered_404() {
    let (requests, response) = exchange(echo, b"GET /else HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    assert!(response.starts_with("HTTP/1.1 404 "), "{response}");
    assert!(requests.is_empty());
}

#[rstest]
fn body_above_the_limit_is_rejected_by_its_content_length() {
    const { assert!(MAX_BODY_BYTES >= 32 * 1024 * 1024, "a configuration may take 32 MiB") };
    let (requests, response) = exchange(
        echo,
        b"PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\nConnection: close\r\n\r\n",
    );
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
    assert!(requests.is_empty());
}

#[rstest]
fn malformed_request_is_rejected() {
    let (requests, response) = exchange(echo, b"NONSENSE\r\n\r\n");
    assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
    assert!(requests.is_empty());
}

/// Opens connections that each send the first part of a request, then sends the rest on each. Returns how many of them
/// got a response.
async fn served_connections(address: SocketAddr, count: usize) -> usize {
    let mut open = Vec::new();
    for _ in 0..count {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        // The write may fail if the server closed the connection at once.
        stream.write_all(b"GET /config HTTP/1.1\r\n").await.ok();
        open.push(stream);
    }
    let mut served = 0;
    for mut stream in open {
        stream.write_all(b"Host: a\r\n\r\n").await.ok();
        let mut first = [0; 12];
        if stream.read_exact(&mut first).await.is_ok() {
            assert_eq!(&first, b"HTTP/1.1 200");
            served += 1;
        }
    }
    served
}

#[rstest]
fn connections_beyond_the_limit_are_closed() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let served = LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (requests, incoming) = mpsc::channel(8);
        spawn_local(serve(listener, requests, LIMITS));
        spawn_local(respond_to_all(incoming, echo, Rc::default()));
        served_connections(address, MAX_CONNECTIONS + 3).await
    });
    assert_eq!(served, MAX_CONNECTIONS);
}

/// Opens a connection, sends a request on it and reads the head of the response.
async fn open_with_request(address: SocketAddr) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(b"GET /config HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("sent");
    let mut head = [0; 512];
    let length = stream.read(&mut head).await.expect("a response");
    (stream, String::from_utf8_lossy(&head[..length]).into_owned())
}

#[rstest]
fn server_near_its_connection_limit_closes_new_connections_after_their_response() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (requests, incoming) = mpsc::channel(8);
        spawn_local(serve(listener, requests, LIMITS));
        spawn_local(respond_to_all(incoming, echo, Rc::default()));
        let mut kept = Vec::new();
        for _ in 0..MAX_CONNECTIONS - 1 {
            let (stream, head) = open_with_request(address).await;
            assert!(!head.contains("connection: close"), "{head}");
            kept.push(stream);
        }
        for _ in 0..10 {
            let (mut stream, head) = open_with_request(address).await;
            assert!(head.starts_with("HTTP/1.1 200"), "{head}");
            assert!(head.contains("connection: close"), "{head}");
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.expect("the end of the connection");
        }
    });
}

/// A control process has 4,096 descriptors, and each of a thousand transcribers keeps a connection open.
#[rstest]
fn connection_limit_is_derived_from_the_descriptor_limit() {
    assert!(max_request_connections(4096) > 1_500);
    assert!(max_request_connections(4096) < 2_500, "load orders and links need descriptors as well");
    assert_eq!(max_request_connections(0), 1);
}

#[rstest]
#[case::before_the_lease_ends(true, "200 OK")]
#[case::after_the_lease_ended(false, "503 Service Unavailable")]
fn response_after_the_end_of_its_lease_is_replaced_by_503(#[case] in_time: bool, #[case] status: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let text = LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (requests, mut incoming) = mpsc::channel(1);
        spawn_local(serve(listener, requests, LIMITS));
        spawn_local(async move {
            let IncomingRequest { responder, .. } = incoming.recv().await.expect("a request");
            let now = Instant::now();
            let send_by = Some(if in_time { now + Duration::from_secs(60) } else { now });
            let response = HttpResponse::configuration(b"{}");
            responder.send(OutgoingResponse { response, send_by }).expect("the client waits");
        });
        send(address, b"GET /config HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await
    });
    assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{text}");
}

#[rstest]
fn bodies_above_the_memory_budget_are_rejected_and_release_their_reservation() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (requests, incoming) = mpsc::channel(8);
        let limits = HttpLimits { max_body_memory_bytes: 100_000, ..LIMITS };
        spawn_local(serve(listener, requests, limits));
        spawn_local(respond_to_all(incoming, echo, Rc::default()));
        // A body that has arrived in part reserves most of the memory budget.
        let mut pending = TcpStream::connect(address).await.expect("a connection");
        let head = b"PUT /config HTTP/1.1\r\nhost: a\r\nif-match: 0\r\ncontent-length: 90001\r\n\r\n";
        pending.write_all(head).await.expect("sent");
        pending.write_all(&[b' '; 90_000]).await.expect("sent");
        let large = [
            &b"PUT /config HTTP/1.1\r\nhost: a\r\nif-match: 0\r\nconnection: close\r\ncontent-length: 20000\r\n\r\n"[..],
            &[b' '; 20_000],
        ]
        .concat();
        let mut rejected = String::new();
        while !rejected.starts_with("HTTP/1.1 503") {
            rejected = send(address, &large).await;
        }
        assert!(rejected.contains("retry-after: 1"), "{rejected}");
        let small = send(address, b"GET /config HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await;
        assert!(small.starts_with("HTTP/1.1 200"), "{small}");
        pending.write_all(b" ").await.expect("sent");
        let mut first = [0; 12];
        pending.read_exact(&mut first).await.expect("a response");
        assert_eq!(&first, b"HTTP/1.1 200");
        drop(pending);
        let served = send(address, &large).await;
        assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    });
}

/// Guards against: a body within the size limit whose parsing takes more memory than the process has.
#[test]
fn a_body_whose_parsing_exceeds_the_memory_budget_is_rejected() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (requests, incoming) = mpsc::channel(8);
        let limits = HttpLimits { max_body_memory_bytes: 100_000, ..LIMITS };
        spawn_local(serve(listener, requests, limits));
        spawn_local(respond_to_all(incoming, echo, Rc::default()));
        let request = |body: String| {
            format!(
                "PUT /config HTTP/1.1\r\nhost: a\r\nif-match: 0\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let many_values = request(format!("[{}0]", "0,".repeat(2000)));
        let rejected = send(address, many_values.as_bytes()).await;
        assert!(rejected.starts_with("HTTP/1.1 503") && rejected.contains("retry-after: 1"), "{rejected}");
        let one_value = request(format!("[\"{}\"]", "0,".repeat(2000)));
        let served = send(address, one_value.as_bytes()).await;
        assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    });
}

#[test]
fn dropped_reservation_releases_its_bytes() {
    let budget = BodyBudget::new(10);
    let mut first = BodyReservation::new(&budget);
    assert!(first.grow(6));
    let mut second = BodyReservation::new(&budget);
    assert!(!second.grow(5), "11 bytes exceed the budget of 10");
    drop(second);
    assert!(first.grow(4));
    drop(first);
    assert_eq!(budget.used_bytes(), 0);
}
