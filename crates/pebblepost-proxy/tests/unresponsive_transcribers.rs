//! Transcribers that do not respond, clients that disconnect, and backends without transcribers.

#[expect(dead_code, reason = "each test program uses a part of the support")]
mod support;

use pebblepost_messages::feed::InstanceState;
use std::time::{Duration, Instant};
use support::transcriber::{Step, success};
use support::{ProxyFixture, approve, get, post, run};

#[test]
fn an_idempotent_request_is_retried_if_its_transcriber_fails_a_health_check() {
    run(async {
        let fixture = ProxyFixture::start(3, vec![vec![Step::Silence], success("of another")]).await;
        let request = get("/pages/1", "r1");
        let exchange = fixture.exchange(&request);
        let take_down = async {
            fixture.wait_for_log_lines(1).await;
            let id = fixture.script.borrow().id_of(0);
            fixture.script.borrow_mut().down.push(id);
        };
        let (received, ()) = tokio::join!(exchange, take_down);
        assert!(received.ends_with("of another"), "{received}");
    });
}

#[test]
fn a_slow_transcriber_that_passes_its_health_checks_is_not_abandoned() {
    run(async {
        let mut slow = vec![Step::Pause(Duration::from_millis(700))];
        slow.extend(success("slow"));
        let fixture = ProxyFixture::start(3, vec![slow]).await;
        let received = fixture.exchange(&get("/pages/1", "r1")).await;
        assert!(received.ends_with("slow"), "{received}");
        assert_eq!(fixture.log().lines().count(), 1);
    });
}

#[test]
fn a_non_idempotent_request_without_a_response_times_out_at_its_deadline() {
    run(async {
        let fixture = ProxyFixture::start(2, vec![vec![Step::Silence]]).await;
        let request = post("/orders/1", "r1", "x").replace("Deadline-Ms: 2000", "Deadline-Ms: 300");
        let started = Instant::now();
        let received = fixture.exchange(&request).await;
        approve(&received, "HTTP/1.1 504 Gateway Timeout\nkeep-alive: timeout=2\ncontent-length: 0\n\n");
        let took = started.elapsed();
        assert!((200..450).contains(&took.as_millis()), "{took:?}");
        fixture.wait_for_log_lines(2).await;
        approve(
            &fixture.log(),
            "t1 < POST /orders/1 host=h.example request-id=r1 with a deadline body=x\nt1 < connection closed",
        );
    });
}

#[test]
fn a_client_disconnect_cancels_the_attempt_in_flight() {
    run(async {
        let fixture = ProxyFixture::start(2, vec![vec![Step::Silence]]).await;
        let mut client = fixture.connect().await;
        client.write(&post("/orders/1", "r1", "x")).await;
        fixture.wait_for_log_lines(1).await;
        drop(client);
        fixture.wait_for_log_lines(2).await;
        approve(
            &fixture.log(),
            "t1 < POST /orders/1 host=h.example request-id=r1 with a deadline body=x\nt1 < connection closed",
        );
    });
}

#[test]
fn without_transcribers_requests_are_rejected_at_once() {
    run(async {
        let fixture = ProxyFixture::start(0, vec![]).await;
        let started = Instant::now();
        let received = fixture.exchange(&post("/orders/1", "r1", "x")).await;
        assert!(received.starts_with("HTTP/1.1 503 Service Unavailable\nretry-after: 0."), "{received}");
        assert!(started.elapsed() < Duration::from_millis(100), "{:?}", started.elapsed());
    });
}

#[test]
fn a_refused_connection_does_not_count_as_an_attempt() {
    run(async {
        let mut fixture = ProxyFixture::start(0, vec![]).await;
        let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        fixture.announce("pages", "i-dead", dead);
        fixture.add("pages", "i-alive").await;
        for number in 0..10 {
            let received = fixture.exchange(&post("/orders/1", &format!("r{number}"), "x")).await;
            assert!(received.ends_with("by default"), "{received}");
        }
    });
}

#[test]
fn draining_and_terminated_transcribers_get_no_new_requests() {
    run(async {
        let mut fixture = ProxyFixture::start(3, vec![]).await;
        fixture.set_state("i-0", InstanceState::Draining);
        fixture.set_state("i-1", InstanceState::Terminated);
        for number in 0..20 {
            fixture.exchange(&get("/pages/1", &format!("r{number}"))).await;
        }
        assert!(fixture.log().lines().all(|line| line.starts_with("t1 ")), "one transcriber is left");
        assert_eq!(fixture.script.borrow().id_of(0), "i-2");
        fixture.set_state("i-2", InstanceState::Draining);
        let received = fixture.exchange(&get("/pages/1", "r20")).await;
        assert!(received.starts_with("HTTP/1.1 503 "), "{received}");
        assert_eq!(fixture.log(), "");
    });
}

#[test]
fn requests_are_rejected_at_once_if_all_transcribers_are_full() {
    run(async {
        let fixture = ProxyFixture::start(3, vec![]).await;
        fixture.script.borrow_mut().report = r#"{"waiting":9,"running":4}"#.to_owned();
        let started = Instant::now();
        let received = fixture.exchange(&get("/pages/1", "r1")).await;
        assert!(received.starts_with("HTTP/1.1 503 Service Unavailable\nretry-after: 0."), "{received}");
        assert!(started.elapsed() < Duration::from_millis(100), "{:?}", started.elapsed());
        assert_eq!(fixture.log(), "");
    });
}
