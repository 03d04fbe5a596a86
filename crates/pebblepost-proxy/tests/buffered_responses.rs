//! Buffered responses: which are forwarded, which are retried, and which are replaced by a response of
//! the proxy.

#[expect(dead_code, reason = "each test program uses a part of the support")]
mod support;

use rstest::rstest;
use support::transcriber::{Reply, Step, not_executed, response, success};
use support::{ProxyFixture, approve, get, post, run};

const SEAL: &str = "Response-Seal: seal.1";

#[test]
fn responses_are_forwarded_unchanged() {
    run(async {
        let reply =
            response("201 Created", &[SEAL, "Weight-Versions: 3", "Keep-Alive: timeout=9"], "page one");
        let fixture = ProxyFixture::start(1, vec![reply]).await;
        let request = "POST /pages/1?x=%41 HTTP/1.1\nHost: h.example\nRequest-Id: r1\nDeadline-Ms: 2000\n\
                       Content-Type: text/x\nConnection: X-Hop\nX-Hop: 1\nTarget-Instance: me\n\
                       Transfer-Encoding: chunked\n\n3\nabc\n2\nde\n0\n\n";
        let received = fixture.exchange(request).await;
        approve(
            &received,
            "HTTP/1.1 201 Created\nrequest-id: r1\nresponse-seal: seal.1\nweight-versions: 3\n\
             keep-alive: timeout=2\ncontent-length: 8\n\npage one",
        );
        approve(
            &fixture.log(),
            "t1 < POST /pages/1?x=%41 host=h.example request-id=r1 content-type=text/x with a deadline body=abcde",
        );
    });
}

#[rstest]
#[case::reset(vec![Step::Reset])]
#[case::closed(vec![Step::Close])]
#[case::garbage(vec![Step::Write("\u{1}\u{2}nothing of the protocol\r\n\r\n".to_owned()), Step::Close])]
#[case::truncated_body(vec![
    Step::Write("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 9\r\n\r\nhalf".to_owned()),
    Step::Close,
])]
#[case::no_length(vec![
    Step::Write("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n\r\nperhaps all".to_owned()),
    Step::Close,
])]
#[case::no_seal(response("200 OK", &[], "unstamped"))]
#[case::encoded(response("200 OK", &[SEAL, "Content-Encoding: gzip"], "encoded"))]
#[case::wrong_request_id(vec![
    Step::Write("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nno".to_owned()),
])]
#[case::unavailable_without_not_executed(response("503 Service Unavailable", &[SEAL], ""))]
#[case::too_many_requests_without_not_executed(response("429 Too Many Requests", &[SEAL], ""))]
#[case::request_timeout_without_not_executed(response("408 Request Timeout", &[SEAL], ""))]
fn unusable_responses_are_not_forwarded(#[case] bad: Reply) {
    run(async move {
        let fixture = ProxyFixture::start(3, vec![bad.clone(), success("of another")]).await;
        let received = fixture.exchange(&get("/pages/1", "r1")).await;
        assert!(received.starts_with("HTTP/1.1 200 OK") && received.ends_with("of another"), "{received}");
        assert_eq!(fixture.log().lines().count(), 2, "retried once");

        // A request that is not idempotent is not retried, because it may have run.
        fixture.script.borrow_mut().replies = vec![bad].into();
        let received = fixture.exchange(&post("/orders/1", "r2", "x")).await;
        approve(&received, "HTTP/1.1 502 Bad Gateway\nkeep-alive: timeout=2\ncontent-length: 0\n\n");
        assert_eq!(fixture.log().lines().count(), 1, "ran once");
    });
}

#[test]
fn a_surplus_response_is_never_sent_for_the_next_request() {
    run(async {
        let mut twice = success("first");
        twice.extend(success("surplus"));
        let fixture = ProxyFixture::start(2, vec![twice.clone()]).await;
        let mut client = fixture.connect().await;
        client.write(&get("/pages/1", "r1")).await;
        assert!(client.response().await.ends_with("\n\nfirst"));
        for number in 2..12 {
            let (id, body) = (format!("r{number}"), format!("body {number}"));
            fixture.script.borrow_mut().replies = vec![success(&body)].into();
            client.write(&get("/pages/2", &id)).await;
            let next = client.response().await;
            assert!(next.contains(&format!("request-id: {id}\n")) && next.ends_with(&body), "{next}");
        }
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    run(async {
        let mut slow = vec![Step::Pause(std::time::Duration::from_millis(50))];
        slow.extend(success("slow"));
        let fixture = ProxyFixture::start(2, vec![slow, success("quick")]).await;
        let mut client = fixture.connect().await;
        client.write(&(get("/pages/1", "r1") + &get("/pages/2", "r2"))).await;
        let (first, second) = (client.response().await, client.response().await);
        assert!(first.contains("request-id: r1\n") && first.ends_with("slow"), "{first}");
        assert!(second.contains("request-id: r2\n") && second.ends_with("quick"), "{second}");
    });
}

#[rstest]
#[case("500 Internal Server Error")]
#[case("504 Gateway Timeout")]
#[case("404 Not Found")]
fn failures_are_retried_if_the_request_is_idempotent_and_otherwise_forwarded(#[case] status: &str) {
    let status = status.to_owned();
    run(async move {
        let failure = || response(&status, &[SEAL], "failed");
        let fixture = ProxyFixture::start(4, vec![failure(), success("of another")]).await;
        let received = fixture.exchange(&get("/pages/1", "r1")).await;
        assert!(received.ends_with("of another"), "{received}");

        let approved = |id: &str| {
            format!(
                "HTTP/1.1 {status}\nrequest-id: {id}\nresponse-seal: seal.1\nkeep-alive: timeout=2\n\
                 content-length: 6\n\nfailed"
            )
        };
        fixture.log();
        fixture.script.borrow_mut().replies = vec![failure()].into();
        approve(&fixture.exchange(&post("/orders/1", "r2", "x")).await, &approved("r2"));
        assert_eq!(fixture.log().lines().count(), 1, "ran once");

        fixture.script.borrow_mut().replies = vec![failure(), failure(), failure()].into();
        approve(&fixture.exchange(&get("/twice/1", "r3")).await, &approved("r3"));
        let log = fixture.log();
        assert_eq!(log.lines().count(), 2, "as many transcribers as the route allows: {log}");
    });
}

#[test]
fn final_responses_are_not_retried() {
    run(async {
        let reply = response("422 Unprocessable Entity", &[SEAL], "never");
        let fixture = ProxyFixture::start(3, vec![reply]).await;
        let received = fixture.exchange(&get("/pages/1", "r1")).await;
        assert!(received.starts_with("HTTP/1.1 422 ") && received.ends_with("never"), "{received}");
        assert_eq!(fixture.log().lines().count(), 1);
    });
}

#[rstest]
#[case("503 Service Unavailable")]
#[case("429 Too Many Requests")]
#[case("421 Misdirected Request")]
fn requests_that_were_not_executed_are_retried(#[case] status: &str) {
    let reply = not_executed(status);
    run(async move {
        let fixture = ProxyFixture::start(3, vec![reply, success("of another")]).await;
        let received = fixture.exchange(&post("/orders/1", "r1", "x")).await;
        assert!(received.ends_with("of another"), "{received}");
        approve(
            &fixture.log(),
            "t1 < POST /orders/1 host=h.example request-id=r1 with a deadline body=x\n\
             t2 < POST /orders/1 host=h.example request-id=r1 with a deadline body=x",
        );
    });
}

#[test]
fn a_request_that_no_transcriber_executes_is_rejected_with_retry_after() {
    run(async {
        let full = || not_executed("503 Service Unavailable");
        let fixture = ProxyFixture::start(5, vec![full(), full(), full(), full()]).await;
        let received = fixture.exchange(&post("/orders/1", "r1", "x")).await;
        assert!(received.starts_with("HTTP/1.1 503 Service Unavailable\nretry-after: 0."), "{received}");
        let log = fixture.log();
        assert!((1..=3).contains(&log.lines().count()), "no more than the route allows: {log}");
    });
}

#[test]
fn no_503_is_sent_after_an_attempt_that_may_have_run() {
    run(async {
        let full = || not_executed("503 Service Unavailable");
        let fixture = ProxyFixture::start(5, vec![vec![Step::Reset], full(), full()]).await;
        let received = fixture.exchange(&get("/pages/1", "r1")).await;
        approve(&received, "HTTP/1.1 502 Bad Gateway\nkeep-alive: timeout=2\ncontent-length: 0\n\n");
    });
}

#[test]
fn the_route_limits_the_number_of_attempts() {
    run(async {
        let fixture = ProxyFixture::start(6, vec![vec![Step::Reset]; 6]).await;
        let received = fixture.exchange(&get("/twice/1", "r1")).await;
        assert!(received.starts_with("HTTP/1.1 502 "), "{received}");
        approve(
            &fixture.log(),
            "t1 < GET /twice/1 host=h.example request-id=r1 with a deadline\n\
             t2 < GET /twice/1 host=h.example request-id=r1 with a deadline",
        );
    });
}
