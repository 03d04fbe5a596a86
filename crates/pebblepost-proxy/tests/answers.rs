//! Whole answers: what is passed on, what is repeated, and what is promised.

mod support;

use rstest::rstest;
use support::transcriber::{Act, Reply, answer, not_executed, success};
use support::{Rig, approve, get, post, run};

const SEAL: &str = "Response-Seal: seal.1";

#[test]
fn an_answer_is_passed_on_unchanged() {
    run(async {
        let reply = answer("201 Created", &[SEAL, "Weight-Versions: 3", "Keep-Alive: timeout=9"], "page one");
        let rig = Rig::start(1, vec![reply]).await;
        let request = "POST /pages/1?x=%41 HTTP/1.1\nHost: h.example\nRequest-Id: r1\nDeadline-Ms: 2000\n\
                       Content-Type: text/x\nConnection: X-Hop\nX-Hop: 1\nTarget-Instance: me\n\
                       Transfer-Encoding: chunked\n\n3\nabc\n2\nde\n0\n\n";
        let received = rig.exchange(request).await;
        approve(
            &received,
            "HTTP/1.1 201 Created\nrequest-id: r1\nresponse-seal: seal.1\nweight-versions: 3\n\
             keep-alive: timeout=2\ncontent-length: 8\n\npage one",
        );
        approve(
            &rig.log(),
            "t1 < POST /pages/1?x=%41 host=h.example request-id=r1 content-type=text/x with a deadline body=abcde",
        );
    });
}

#[rstest]
#[case::reset(vec![Act::Reset])]
#[case::closed(vec![Act::Close])]
#[case::garbage(vec![Act::Write("\u{1}\u{2}nothing of the protocol\r\n\r\n".to_owned()), Act::Close])]
#[case::cut_body(vec![
    Act::Write("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 9\r\n\r\nhalf".to_owned()),
    Act::Close,
])]
#[case::no_length(vec![
    Act::Write("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n\r\nperhaps all".to_owned()),
    Act::Close,
])]
#[case::no_seal(answer("200 OK", &[], "unstamped"))]
#[case::encoded(answer("200 OK", &[SEAL, "Content-Encoding: gzip"], "encoded"))]
#[case::of_another_request(vec![
    Act::Write("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nno".to_owned()),
])]
#[case::promise_without_proof(answer("503 Service Unavailable", &[SEAL], ""))]
#[case::late_refusal_without_proof(answer("429 Too Many Requests", &[SEAL], ""))]
#[case::time_out_without_proof(answer("408 Request Timeout", &[SEAL], ""))]
fn what_is_no_answer_is_not_passed_on(#[case] bad: Reply) {
    run(async move {
        let rig = Rig::start(3, vec![bad.clone(), success("of another")]).await;
        let received = rig.exchange(&get("/pages/1", "r1")).await;
        assert!(received.starts_with("HTTP/1.1 200 OK") && received.ends_with("of another"), "{received}");
        assert_eq!(rig.log().lines().count(), 2, "repeated once");

        // What can't be repeated ends: it may have run.
        rig.script.borrow_mut().replies = vec![bad].into();
        let received = rig.exchange(&post("/orders/1", "r2", "x")).await;
        approve(&received, "HTTP/1.1 502 Bad Gateway\nkeep-alive: timeout=2\ncontent-length: 0\n\n");
        assert_eq!(rig.log().lines().count(), 1, "ran once");
    });
}

#[test]
fn a_surplus_answer_is_never_the_next_ones() {
    run(async {
        let mut twice = success("first");
        twice.extend(success("surplus"));
        let rig = Rig::start(2, vec![twice.clone()]).await;
        let mut client = rig.connect().await;
        client.write(&get("/pages/1", "r1")).await;
        assert!(client.answer().await.ends_with("\n\nfirst"));
        for number in 2..12 {
            let (id, body) = (format!("r{number}"), format!("body {number}"));
            rig.script.borrow_mut().replies = vec![success(&body)].into();
            client.write(&get("/pages/2", &id)).await;
            let next = client.answer().await;
            assert!(next.contains(&format!("request-id: {id}\n")) && next.ends_with(&body), "{next}");
        }
    });
}

#[test]
fn pipelined_requests_are_answered_in_turn() {
    run(async {
        let mut slow = vec![Act::Pause(std::time::Duration::from_millis(50))];
        slow.extend(success("slow"));
        let rig = Rig::start(2, vec![slow, success("quick")]).await;
        let mut client = rig.connect().await;
        client.write(&(get("/pages/1", "r1") + &get("/pages/2", "r2"))).await;
        let (first, second) = (client.answer().await, client.answer().await);
        assert!(first.contains("request-id: r1\n") && first.ends_with("slow"), "{first}");
        assert!(second.contains("request-id: r2\n") && second.ends_with("quick"), "{second}");
    });
}

#[rstest]
#[case("500 Internal Server Error")]
#[case("504 Gateway Timeout")]
#[case("404 Not Found")]
fn a_failure_is_tried_elsewhere_if_it_may_be_and_else_passed_on_unchanged(#[case] status: &str) {
    let status = status.to_owned();
    run(async move {
        let failure = || answer(&status, &[SEAL], "failed");
        let rig = Rig::start(4, vec![failure(), success("of another")]).await;
        let received = rig.exchange(&get("/pages/1", "r1")).await;
        assert!(received.ends_with("of another"), "{received}");

        let approved = |id: &str| {
            format!(
                "HTTP/1.1 {status}\nrequest-id: {id}\nresponse-seal: seal.1\nkeep-alive: timeout=2\n\
                 content-length: 6\n\nfailed"
            )
        };
        rig.log();
        rig.script.borrow_mut().replies = vec![failure()].into();
        approve(&rig.exchange(&post("/orders/1", "r2", "x")).await, &approved("r2"));
        assert_eq!(rig.log().lines().count(), 1, "ran once");

        rig.script.borrow_mut().replies = vec![failure(), failure(), failure()].into();
        approve(&rig.exchange(&get("/twice/1", "r3")).await, &approved("r3"));
        let log = rig.log();
        assert_eq!(log.lines().count(), 2, "as many transcribers as the route allows: {log}");
    });
}

#[test]
fn a_final_status_of_a_transcriber_is_not_repeated() {
    run(async {
        let reply = answer("422 Unprocessable Entity", &[SEAL], "never");
        let rig = Rig::start(3, vec![reply]).await;
        let received = rig.exchange(&get("/pages/1", "r1")).await;
        assert!(received.starts_with("HTTP/1.1 422 ") && received.ends_with("never"), "{received}");
        assert_eq!(rig.log().lines().count(), 1);
    });
}

#[rstest]
#[case("503 Service Unavailable")]
#[case("429 Too Many Requests")]
#[case("421 Misdirected Request")]
fn what_was_not_executed_goes_elsewhere(#[case] status: &str) {
    let reply = not_executed(status);
    run(async move {
        let rig = Rig::start(3, vec![reply, success("of another")]).await;
        let received = rig.exchange(&post("/orders/1", "r1", "x")).await;
        assert!(received.ends_with("of another"), "{received}");
        approve(
            &rig.log(),
            "t1 < POST /orders/1 host=h.example request-id=r1 with a deadline body=x\n\
             t2 < POST /orders/1 host=h.example request-id=r1 with a deadline body=x",
        );
    });
}

#[test]
fn what_was_executed_nowhere_is_refused_with_advice() {
    run(async {
        let full = || not_executed("503 Service Unavailable");
        let rig = Rig::start(5, vec![full(), full(), full(), full()]).await;
        let received = rig.exchange(&post("/orders/1", "r1", "x")).await;
        assert!(received.starts_with("HTTP/1.1 503 Service Unavailable\nretry-after: 0."), "{received}");
        let log = rig.log();
        assert!((1..=3).contains(&log.lines().count()), "no more than the route allows: {log}");
    });
}

#[test]
fn no_promise_follows_an_attempt_that_may_have_run() {
    run(async {
        let full = || not_executed("503 Service Unavailable");
        let rig = Rig::start(5, vec![vec![Act::Reset], full(), full()]).await;
        let received = rig.exchange(&get("/pages/1", "r1")).await;
        approve(&received, "HTTP/1.1 502 Bad Gateway\nkeep-alive: timeout=2\ncontent-length: 0\n\n");
    });
}

#[test]
fn no_more_transcribers_than_the_route_allows() {
    run(async {
        let rig = Rig::start(6, vec![vec![Act::Reset]; 6]).await;
        let received = rig.exchange(&get("/twice/1", "r1")).await;
        assert!(received.starts_with("HTTP/1.1 502 "), "{received}");
        approve(
            &rig.log(),
            "t1 < GET /twice/1 host=h.example request-id=r1 with a deadline\n\
             t2 < GET /twice/1 host=h.example request-id=r1 with a deadline",
        );
    });
}
