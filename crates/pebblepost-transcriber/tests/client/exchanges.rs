//! Requests, load reports and load orders to scripted transcribers.

use crate::support::{ScriptedTranscriber, Step, client, limits, outgoing, run};
use http::StatusCode;
use pebblepost_transcriber::{Client, ClientError, ClientLimits, StreamResponse, Target};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

const OK_A: &[u8] = b"HTTP/1.1 200 OK\r\nrequest-id: a\r\nresponse-seal: s\r\ncontent-length: 2\r\n\r\nhi";
const OK_B: &[u8] = b"HTTP/1.1 200 OK\r\nrequest-id: b\r\ncontent-length: 2\r\n\r\nho";

fn one_second_from_now() -> Instant {
    Instant::now() + Duration::from_secs(1)
}

#[test]
fn sends_a_request_unchanged_with_instance_deadline_and_length() {
    run(async {
        let server = ScriptedTranscriber::start(vec![vec![Step::Read, Step::Write(OK_A)]]).await;
        let response = client().send(&server.target(), outgoing("a")).await.unwrap();
        assert_eq!(response.head.status, StatusCode::OK);
        assert_eq!(response.head.headers["response-seal"], "s");
        assert_eq!(&response.body[..], b"hi");
        let approved = "POST /lohu930/2f?x=1 HTTP/1.1\nhost: ficu95.example\nrequest-id: a\n\
                        model: daka\ntarget-instance: i-1\ncontent-length: 3\n\
                        deadline-ms: (left)\n\nabc";
        assert_eq!(server.requests(), [approved]);
    });
}

#[test]
fn reuses_a_connection_after_a_complete_response() {
    run(async {
        let script = vec![Step::Read, Step::Write(OK_A), Step::Read, Step::Write(OK_B)];
        let server = ScriptedTranscriber::start(vec![script]).await;
        let client = client();
        client.send(&server.target(), outgoing("a")).await.unwrap();
        client.send(&server.target(), outgoing("b")).await.unwrap();
        assert_eq!((client.metrics().connection_attempts, client.metrics().requests), (1, 2));
    });
}

#[rstest]
#[case::closing(b"HTTP/1.1 200 OK\r\nrequest-id: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n")]
#[case::keep_alive_of_zero(
    b"HTTP/1.1 200 OK\r\nrequest-id: a\r\nkeep-alive: timeout=0\r\ncontent-length: 0\r\n\r\n"
)]
#[case::surplus_bytes(b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 OK\r\n")]
fn a_connection_is_not_reused_after_this_response(#[case] response: &'static [u8]) {
    run(async move {
        let server = ScriptedTranscriber::start(vec![
            vec![Step::Read, Step::Write(response)],
            vec![Step::Read, Step::Write(OK_B)],
        ])
        .await;
        let client = client();
        client.send(&server.target(), outgoing("a")).await.unwrap();
        client.send(&server.target(), outgoing("b")).await.unwrap();
        assert_eq!(client.metrics().connection_attempts, 2);
    });
}

#[test]
fn a_connection_with_unread_bytes_is_not_reused() {
    run(async {
        let (late, wait_late) = oneshot::channel();
        let (written, wait_written) = oneshot::channel();
        let first = vec![
            Step::Read,
            Step::Write(OK_A),
            Step::Await(wait_late),
            Step::Write(OK_A),
            Step::Notify(written),
        ];
        let server = ScriptedTranscriber::start(vec![first, vec![Step::Read, Step::Write(OK_B)]]).await;
        let client = client();
        client.send(&server.target(), outgoing("a")).await.unwrap();
        late.send(()).unwrap();
        wait_written.await.unwrap();
        let response = client.send(&server.target(), outgoing("b")).await.unwrap();
        assert_eq!((&response.body[..], client.metrics().connection_attempts), (&b"ho"[..], 2));
    });
}

#[test]
fn replaces_a_connection_closed_while_idle_before_sending() {
    run(async {
        let (notify, closed) = oneshot::channel();
        let first = vec![Step::Read, Step::Write(OK_A), Step::Notify(notify), Step::Close];
        let server = ScriptedTranscriber::start(vec![first, vec![Step::Read, Step::Write(OK_B)]]).await;
        let client = client();
        client.send(&server.target(), outgoing("a")).await.unwrap();
        closed.await.unwrap();
        client.send(&server.target(), outgoing("b")).await.unwrap();
        assert_eq!(client.metrics().connection_attempts, 2);
    });
}

#[rstest]
#[case::another_id(b"HTTP/1.1 200 OK\r\nrequest-id: z\r\ncontent-length: 0\r\n\r\n")]
#[case::no_id(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")]
#[case::encoded(b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-encoding: gzip\r\ncontent-length: 0\r\n\r\n")]
#[case::truncated_body(b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 9\r\n\r\nhi")]
#[case::truncated_chunks(
    b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n"
)]
#[case::no_length(b"HTTP/1.1 200 OK\r\nrequest-id: a\r\n\r\nhi")]
#[case::no_response(b"")]
#[case::garbage(b"\x00\x01 no answer at all\r\n\r\n")]
#[case::too_large(b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 1001\r\n\r\n")]
fn an_invalid_response_means_that_the_request_may_have_run(#[case] response: &'static [u8]) {
    run(async move {
        let server = ScriptedTranscriber::start(vec![
            vec![Step::Read, Step::Write(response), Step::Close],
            vec![Step::Read, Step::Write(OK_B)],
        ])
        .await;
        let client = client();
        let failure = client.send(&server.target(), outgoing("a")).await.unwrap_err();
        assert_eq!(failure, ClientError::MayHaveRun);
        client.send(&server.target(), outgoing("b")).await.unwrap();
        assert_eq!(client.metrics().connection_attempts, 2);
    });
}

#[test]
fn reads_a_chunked_body() {
    run(async {
        let response = b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n\
                       2\r\nhi\r\n3\r\n you\r\n0\r\n\r\n";
        let response: &'static [u8] = Box::leak(response.to_vec().into_boxed_slice());
        let server = ScriptedTranscriber::start(vec![vec![Step::Read, Step::Write(response)]]).await;
        let failure = client().send(&server.target(), outgoing("a")).await;
        assert_eq!(failure.unwrap_err(), ClientError::MayHaveRun, "a chunk longer than its length");
        let response = b"HTTP/1.1 200 OK\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n\
                       2\r\nhi\r\n4\r\n you\r\n0\r\n\r\n";
        let server = ScriptedTranscriber::start(vec![vec![Step::Read, Step::Write(response)]]).await;
        let response = client().send(&server.target(), outgoing("a")).await.unwrap();
        assert_eq!(&response.body[..], b"hi you");
        assert!(!response.head.headers.contains_key("transfer-encoding"));
    });
}

#[test]
fn removes_hop_by_hop_headers_of_a_response() {
    run(async {
        let response = b"HTTP/1.1 200 OK\r\nrequest-id: a\r\nconnection: keep-alive, x-hop\r\nx-hop: 1\r\n\
                       keep-alive: timeout=5\r\nproxy-x: 1\r\nx-end: 2\r\ncontent-length: 0\r\n\r\n";
        let server = ScriptedTranscriber::start(vec![vec![Step::Read, Step::Write(response)]]).await;
        let response = client().send(&server.target(), outgoing("a")).await.unwrap();
        let mut names: Vec<&str> = response.head.headers.keys().map(|name| name.as_str()).collect();
        names.sort_unstable();
        assert_eq!(names, ["content-length", "request-id", "x-end"]);
    });
}

#[rstest]
#[case(b"HTTP/1.1 503 X\r\nrequest-id: a\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n", true)]
#[case(b"HTTP/1.1 421 X\r\nrequest-id: a\r\ncontent-length: 0\r\n\r\n", true)]
#[case(b"HTTP/1.1 503 X\r\nrequest-id: a\r\ncontent-length: 0\r\n\r\n", false)]
fn not_executed_and_421_state_that_the_request_did_not_run(
    #[case] response: &'static [u8], #[case] not_executed: bool,
) {
    run(async move {
        let server = ScriptedTranscriber::start(vec![vec![Step::Read, Step::Write(response)]]).await;
        let response = client().send(&server.target(), outgoing("a")).await.unwrap();
        assert_eq!(response.head.not_executed, not_executed);
    });
}

#[test]
fn a_refused_connection_means_not_sent() {
    run(async {
        let address: SocketAddr = {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            listener.local_addr().unwrap()
        };
        let target = Target { instance: "i-1".to_owned(), address };
        let failure = client().send(&target, outgoing("a")).await.unwrap_err();
        assert_eq!(failure, ClientError::NotSent);
    });
}

#[test]
fn a_reset_after_the_request_means_may_have_run() {
    run(async {
        let server = ScriptedTranscriber::start(vec![vec![Step::Read, Step::Reset]]).await;
        let failure = client().send(&server.target(), outgoing("a")).await.unwrap_err();
        assert_eq!(failure, ClientError::MayHaveRun);
    });
}

#[test]
fn the_deadline_closes_the_connection() {
    run(async {
        let (notify, closed) = oneshot::channel();
        let server = ScriptedTranscriber::start(vec![vec![Step::Read, Step::AwaitClose(notify)]]).await;
        let request =
            pebblepost_transcriber::OutgoingRequest { timeout: Duration::from_millis(30), ..outgoing("a") };
        let failure = client().send(&server.target(), request).await.unwrap_err();
        assert_eq!(failure, ClientError::TimedOut);
        closed.await.unwrap();
    });
}

#[test]
fn dropping_a_call_closes_its_connection() {
    run(async {
        let (notify, closed) = oneshot::channel();
        let (started, wait_started) = oneshot::channel();
        let server = ScriptedTranscriber::start(vec![vec![
            Step::Read,
            Step::Notify(started),
            Step::AwaitClose(notify),
        ]])
        .await;
        let client = client();
        let target = server.target();
        tokio::select! {
            _ = client.send(&target, outgoing("a")) => panic!("no response was sent"),
            _ = wait_started => {}
        }
        closed.await.unwrap();
    });
}

#[test]
fn a_call_over_the_connection_limit_waits_for_a_connection() {
    run(async {
        let (release, wait_release) = oneshot::channel();
        let script =
            vec![Step::Read, Step::Await(wait_release), Step::Write(OK_A), Step::Read, Step::Write(OK_B)];
        let server = ScriptedTranscriber::start(vec![script]).await;
        let client = Client::new(pebblepost_transcriber::ClientLimits {
            max_connections_per_transcriber: 1,
            ..limits()
        });
        let target = server.target();
        let (first, second, third) =
            tokio::join!(client.send(&target, outgoing("a")), client.send(&target, outgoing("b")), async {
                let request = pebblepost_transcriber::OutgoingRequest {
                    timeout: Duration::from_millis(20),
                    ..outgoing("c")
                };
                let failure = client.send(&target, request).await.unwrap_err();
                release.send(()).unwrap();
                failure
            });
        assert_eq!(third, ClientError::NotSent);
        assert_eq!((&first.unwrap().body[..], &second.unwrap().body[..]), (&b"hi"[..], &b"ho"[..]));
        assert_eq!(client.metrics().connection_attempts, 1);
    });
}

/// Guards against: calls that wait for a connection under a limit that was raised meanwhile.
#[test]
fn a_raised_connection_limit_applies_to_waiting_calls() {
    run(async {
        let (release, wait_release) = oneshot::channel();
        let busy = vec![Step::Read, Step::Await(wait_release), Step::Write(OK_A)];
        let server = ScriptedTranscriber::start(vec![busy, vec![Step::Read, Step::Write(OK_B)]]).await;
        let client = Client::new(ClientLimits { max_connections_per_transcriber: 1, ..limits() });
        let target = server.target();
        let (first, second, ()) =
            tokio::join!(client.send(&target, outgoing("a")), client.send(&target, outgoing("b")), async {
                tokio::time::sleep(Duration::from_millis(20)).await;
                client.set_limits(ClientLimits { max_connections_per_transcriber: 2, ..limits() });
                while client.metrics().connection_attempts < 2 {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                release.send(()).unwrap();
            });
        assert_eq!((&first.unwrap().body[..], &second.unwrap().body[..]), (&b"hi"[..], &b"ho"[..]));
    });
}

/// Guards against: connections beyond a lowered limit that stay open for as long as they are used.
#[rstest]
#[case::idle_ones(false)]
#[case::one_in_use(true)]
fn a_lowered_connection_limit_closes_the_connections_beyond_it(#[case] is_in_use: bool) {
    const CONNECTIONS: usize = 4;
    run(async move {
        let mut scripts = Vec::new();
        let mut releases = Vec::new();
        let mut closed = Vec::new();
        for _ in 0..CONNECTIONS {
            let ((release, wait_release), (notify, wait_closed)) = (oneshot::channel(), oneshot::channel());
            scripts.push(vec![
                Step::Read,
                Step::Await(wait_release),
                Step::Write(OK_A),
                Step::AwaitClose(notify),
            ]);
            releases.push(release);
            closed.push(wait_closed);
        }
        let server = ScriptedTranscriber::start(scripts).await;
        let (client, target) = (client(), server.target());
        let lowered = ClientLimits { max_connections_per_transcriber: 1, ..limits() };
        let calls = async {
            let calls = [(); CONNECTIONS].map(|()| client.send(&target, outgoing("a")));
            let [one, two, three, four] = calls;
            tokio::join!(one, two, three, four)
        };
        let (responses, ()) = tokio::join!(calls, async {
            while client.metrics().connection_attempts < CONNECTIONS as u64 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            if is_in_use {
                client.set_limits(lowered);
            }
            releases.into_iter().for_each(|release| release.send(()).unwrap());
        });
        assert!(responses.0.is_ok() && responses.1.is_ok() && responses.2.is_ok() && responses.3.is_ok());
        client.set_limits(lowered);
        // One is allowed, and one more for load reports.
        let mut closed_count = 0;
        for wait_closed in closed {
            let outcome = tokio::time::timeout(Duration::from_millis(200), wait_closed).await;
            closed_count += usize::from(matches!(outcome, Ok(Ok(()))));
        }
        assert_eq!(closed_count, CONNECTIONS - 2);
    });
}

#[test]
fn a_load_report_may_exceed_the_connection_limit_by_one() {
    run(async {
        let (release, wait_release) = oneshot::channel();
        let busy = vec![Step::Read, Step::Await(wait_release), Step::Write(OK_A)];
        let report = b"HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\n{\"waiting\":0,\"running\":1}";
        let server = ScriptedTranscriber::start(vec![busy, vec![Step::Read, Step::Write(report)]]).await;
        let client = Client::new(pebblepost_transcriber::ClientLimits {
            max_connections_per_transcriber: 1,
            ..limits()
        });
        let target = server.target();
        let (response, load) = tokio::join!(client.send(&target, outgoing("a")), async {
            let load = client.request_load_report(&target, Duration::from_secs(5)).await;
            release.send(()).unwrap();
            load
        });
        assert_eq!(load.unwrap().unwrap().running, 1);
        assert!(response.is_ok());
        let metrics = client.metrics();
        assert_eq!(
            (
                metrics.connection_attempts,
                metrics.initial_connection_attempts,
                metrics.replacement_connection_attempts
            ),
            (2, 1, 0)
        );
    });
}

#[test]
fn removing_a_transcriber_closes_its_idle_connections() {
    run(async {
        let (notify, closed) = oneshot::channel();
        let server =
            ScriptedTranscriber::start(vec![vec![Step::Read, Step::Write(OK_A), Step::AwaitClose(notify)]])
                .await;
        let client = client();
        client.send(&server.target(), outgoing("a")).await.unwrap();
        client.remove_target(&server.target());
        closed.await.unwrap();
    });
}

#[test]
fn calls_waiting_for_a_connection_to_a_removed_transcriber_are_not_sent() {
    run(async {
        let (started, wait_started) = oneshot::channel();
        let (release, wait_release) = oneshot::channel();
        let script = vec![Step::Read, Step::Notify(started), Step::Await(wait_release), Step::Write(OK_A)];
        let server = ScriptedTranscriber::start(vec![script]).await;
        let client = Client::new(pebblepost_transcriber::ClientLimits {
            max_connections_per_transcriber: 1,
            ..limits()
        });
        let target = server.target();
        let (first, second, third, ()) = tokio::join!(
            client.send(&target, outgoing("a")),
            client.send(&target, outgoing("b")),
            client.send(&target, outgoing("c")),
            async {
                wait_started.await.unwrap();
                client.remove_target(&target);
                release.send(()).unwrap();
            }
        );
        assert_eq!(&first.unwrap().body[..], b"hi", "the request that was already sent completes");
        assert_eq!((second.unwrap_err(), third.unwrap_err()), (ClientError::NotSent, ClientError::NotSent));
        assert_eq!(server.requests().len(), 1);
    });
}

#[test]
fn no_request_is_sent_on_a_connection_established_to_a_removed_transcriber() {
    run(async {
        let server = ScriptedTranscriber::start(vec![vec![Step::Read, Step::Write(OK_A)]]).await;
        let client = client();
        let target = server.target();
        let (response, ()) = tokio::join!(client.send(&target, outgoing("a")), async {
            client.remove_target(&target);
        });
        assert_eq!(response.unwrap_err(), ClientError::NotSent);
        assert!(server.requests().is_empty());
    });
}

#[test]
fn an_idle_connection_expires_before_the_keep_alive_of_the_transcriber() {
    run(async {
        let response =
            b"HTTP/1.1 200 OK\r\nrequest-id: a\r\nkeep-alive: timeout=2\r\ncontent-length: 0\r\n\r\n";
        let again = vec![Step::Read, Step::Write(response), Step::Read, Step::Write(response)];
        let server = ScriptedTranscriber::start(vec![again, vec![Step::Read, Step::Write(response)]]).await;
        let client = client();
        client.send(&server.target(), outgoing("a")).await.unwrap();
        tokio::time::pause();
        tokio::time::advance(Duration::from_millis(1600)).await;
        tokio::time::resume();
        client.send(&server.target(), outgoing("a")).await.unwrap();
        assert_eq!(client.metrics().connection_attempts, 1);
        tokio::time::pause();
        tokio::time::advance(Duration::from_millis(1701)).await;
        tokio::time::resume();
        client.send(&server.target(), outgoing("a")).await.unwrap();
        assert_eq!(client.metrics().connection_attempts, 2);
    });
}

#[test]
fn load_reports_and_load_orders_carry_no_request_id() {
    run(async {
        let report = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 26\r\n\r\n\
                       {\"running\":12,\"waiting\":1}";
        let accepted = b"HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";
        let script = vec![Step::Read, Step::Write(report), Step::Read, Step::Write(accepted)];
        let server = ScriptedTranscriber::start(vec![script]).await;
        let client = client();
        let target = server.target();
        let load = client.request_load_report(&target, Duration::from_secs(1)).await.unwrap().unwrap();
        assert_eq!((load.running, load.waiting), (12, 1));
        let status = client
            .send_load_order(&target, "{}".into(), one_second_from_now(), Duration::from_secs(1))
            .await
            .unwrap();
        assert_eq!(status, StatusCode::ACCEPTED);
        let host = server.address;
        let approved = [
            format!("GET /report HTTP/1.1\nhost: {host}\ntarget-instance: i-1\ndeadline-ms: (left)\n\n"),
            format!(
                "POST /order HTTP/1.1\nhost: {host}\ncontent-type: application/json\n\
                 target-instance: i-1\ncontent-length: 2\ndeadline-ms: (left)\n\n{{}}"
            ),
        ];
        assert_eq!(server.requests(), approved);
        assert_eq!((client.metrics().load_reports, client.metrics().requests), (1, 2));
    });
}

#[test]
fn a_rejected_load_report_returns_the_load_of_its_header_or_none() {
    run(async {
        let with_load = b"HTTP/1.1 400 Bad Request\r\nnot-executed: 1\r\ninstance-load: 2,1,6\r\n\
                          content-length: 0\r\n\r\n";
        let without = b"HTTP/1.1 400 Bad Request\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
        let script = vec![Step::Read, Step::Write(with_load), Step::Read, Step::Write(without)];
        let server = ScriptedTranscriber::start(vec![script]).await;
        let (client, target) = (client(), server.target());
        let load = client.request_load_report(&target, Duration::from_secs(1)).await.unwrap().unwrap();
        assert_eq!((load.running, load.waiting, load.slots), (2, 1, Some(6)));
        assert_eq!(client.request_load_report(&target, Duration::from_secs(1)).await, Ok(None));
    });
}

#[test]
fn a_surplus_response_is_not_a_load_report() {
    run(async {
        let surplus = b"HTTP/1.1 200 OK\r\nrequest-id: old\r\ncontent-length: 2\r\n\r\n{}";
        let server = ScriptedTranscriber::start(vec![vec![Step::Read, Step::Write(surplus)]]).await;
        let failure =
            client().request_load_report(&server.target(), Duration::from_secs(1)).await.unwrap_err();
        assert_eq!(failure, ClientError::MayHaveRun);
    });
}

/// Guards against: a second response to a failed attempt that counts as the response to the retry, so that an item is given
/// up after one failure (`docs/incidents/items-given-up-after-one-failure.md`).
#[rstest]
#[case::with_a_free_slot(4)]
#[case::with_one_connection_allowed(1)]
fn a_second_response_to_an_attempt_is_not_the_response_to_its_retry(#[case] max_connections: usize) {
    run(async {
        let failed = b"HTTP/1.1 500 X\r\nrequest-id: a\r\ncontent-length: 0\r\n\r\n";
        // The second response arrives in the place of the next one on the connection.
        let first = vec![Step::Read, Step::Write(failed), Step::Read, Step::Write(failed)];
        let second = vec![Step::Read, Step::Write(OK_A), Step::Read, Step::Write(OK_A)];
        let server = ScriptedTranscriber::start(vec![first, second]).await;
        let limits = ClientLimits { max_connections_per_transcriber: max_connections, ..limits() };
        let (client, target) = (Client::new(limits), server.target());
        assert_eq!(client.send(&target, outgoing("a")).await.unwrap().head.status, 500);
        assert_eq!(client.send(&target, outgoing("a")).await.unwrap().head.status, 200);
    });
}

/// Guards against: a connection that is not used again by other requests because of a retry.
#[test]
fn other_requests_use_the_connection_of_a_failed_attempt() {
    run(async {
        let failed = b"HTTP/1.1 500 X\r\nrequest-id: b\r\ncontent-length: 0\r\n\r\n";
        let script = vec![Step::Read, Step::Write(failed), Step::Read, Step::Write(OK_A)];
        let server = ScriptedTranscriber::start(vec![script]).await;
        let (client, target) = (client(), server.target());
        assert_eq!(client.send(&target, outgoing("b")).await.unwrap().head.status, 500);
        assert_eq!(client.send(&target, outgoing("a")).await.unwrap().head.status, 200);
    });
}

#[test]
fn a_surplus_load_report_is_not_the_response_to_a_load_order() {
    run(async {
        let report = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 26\r\n\r\n\
                       {\"running\":12,\"waiting\":1}";
        // The second report arrives only after the check that the connection is reusable.
        let script = vec![Step::Read, Step::Write(report), Step::Read, Step::Write(report)];
        let server = ScriptedTranscriber::start(vec![script]).await;
        let (client, target) = (client(), server.target());
        assert!(client.request_load_report(&target, Duration::from_secs(1)).await.is_ok());
        let response =
            client.send_load_order(&target, "{}".into(), one_second_from_now(), Duration::from_secs(1)).await;
        assert_eq!(
            response,
            Err(ClientError::MayHaveRun),
            "it is unknown whether the load order was accepted"
        );
    });
}

#[test]
fn a_response_that_is_not_a_stream_is_buffered() {
    run(async {
        let server = ScriptedTranscriber::start(vec![vec![Step::Read, Step::Write(OK_A)]]).await;
        match client().open_stream(&server.target(), outgoing("a")).await.unwrap() {
            StreamResponse::Buffered(response) => assert_eq!(&response.body[..], b"hi"),
            StreamResponse::Stream(..) => panic!("no stream"),
        }
    });
}

#[rstest]
#[case::on_a_new_connection(false)]
#[case::on_a_reused_connection(true)]
fn a_load_order_is_not_written_from_its_send_by_time_on(#[case] reuses_connection: bool) {
    run(async {
        let script = vec![Step::Read, Step::Write(OK_A), Step::Read];
        let server = ScriptedTranscriber::start(vec![script]).await;
        let (client, target) = (client(), server.target());
        if reuses_connection {
            client.send(&target, outgoing("a")).await.unwrap();
        }
        let requests = client.metrics().requests;
        let response =
            client.send_load_order(&target, "{}".into(), Instant::now(), Duration::from_secs(1)).await;
        assert_eq!(response, Err(ClientError::NotSent));
        assert_eq!(client.metrics().requests, requests, "nothing was written");
    });
}

#[test]
fn a_connection_with_a_partly_written_request_body_is_not_reused() {
    run(async {
        let (read, rest) = oneshot::channel();
        let early = vec![Step::ReadHead, Step::Write(OK_A), Step::ReadToEnd(read)];
        let other = vec![Step::Read, Step::Write(OK_B)];
        let server = ScriptedTranscriber::start(vec![early, other]).await;
        let client = client();
        // More than a socket buffers, so that the response arrives before the body is written completely.
        let body = vec![b'x'; 8 * 1024 * 1024];
        let long = pebblepost_transcriber::OutgoingRequest { body: body.into(), ..outgoing("a") };
        // Both a response and an error are allowed for the early response.
        client.send(&server.target(), long).await.ok();
        let response = client.send(&server.target(), outgoing("b")).await.unwrap();
        assert_eq!(&response.body[..], b"ho");
        assert_eq!(client.metrics().connection_attempts, 2);
        drop(client);
        let rest = rest.await.unwrap();
        assert!(
            rest.iter().all(|byte| *byte == b'x'),
            "bytes other than the body were written to the connection"
        );
    });
}
