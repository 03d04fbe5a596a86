//! Client connections: malformed requests, limits, configurations, readiness and shutdown.

#[expect(dead_code, reason = "each test program uses a part of the support")]
mod support;

use rstest::rstest;
use std::time::{Duration, Instant};
use support::transcriber::{Step, success};
use support::{ProxyFixture, ROUTES, approve, configuration, get, post, run};

#[rstest]
#[case::no_route("GET /none/1 HTTP/1.1\nHost: h.example\nRequest-Id: r1\n\n", "404 Not Found")]
#[case::other_host("GET /pages/1 HTTP/1.1\nHost: x.example\nRequest-Id: r1\n\n", "404 Not Found")]
#[case::no_id("GET /pages/1 HTTP/1.1\nHost: h.example\n\n", "400 Bad Request")]
#[case::two_ids(
    "GET /pages/1 HTTP/1.1\nHost: h.example\nRequest-Id: r1\nRequest-Id: r2\n\n",
    "400 Bad Request"
)]
#[case::no_host("GET /pages/1 HTTP/1.1\nRequest-Id: r1\n\n", "400 Bad Request")]
#[case::two_hosts("GET /pages/1 HTTP/1.1\nHost: h.example\nHost: x\nRequest-Id: r1\n\n", "400 Bad Request")]
#[case::bad_deadline(
    "GET /pages/1 HTTP/1.1\nHost: h.example\nRequest-Id: r1\nDeadline-Ms: soon\n\n",
    "400 Bad Request"
)]
#[case::no_protocol("what is this\n\n", "400 Bad Request")]
#[case::job_call_without_an_id("POST /lots/1 HTTP/1.1\nHost: h.example\n\n", "405 Method Not Allowed")]
#[case::job_call_of_a_host_without_routes("POST /lots/1 HTTP/1.1\nHost: x\n\n", "405 Method Not Allowed")]
fn malformed_and_unroutable_requests_are_rejected(#[case] request: &str, #[case] status: &str) {
    run(async move {
        let fixture = ProxyFixture::start(1, vec![]).await;
        let received = fixture.exchange(request).await;
        assert_eq!(received.lines().next().unwrap(), format!("HTTP/1.1 {status}"), "{received}");
        assert_eq!(fixture.log(), "", "no transcriber gets it");
    });
}

#[test]
fn job_calls_go_to_the_batch_runner() {
    const ROLLOUT: &str = r#"{"name":"r","hostname":"h.example","path_prefix":"/lot/","kind":"rollout",
        "timeout_ms":1500,"target_latency_ms":100,"backend":"pages","max_attempts":2}"#;
    run(async {
        let fixture = ProxyFixture::start(1, vec![]).await;
        fixture.proxy.apply(&[configuration(2, ROLLOUT)]);
        let received = fixture.exchange(&post("/lot/1", "r1", "no job")).await;
        assert!(received.starts_with("HTTP/1.1 400 "), "the runner reads jobs: {received}");
        let received = fixture.exchange(&get("/lot/1", "r2")).await;
        assert!(received.starts_with("HTTP/1.1 404 "), "jobs are posted: {received}");
        let received = fixture.exchange(&post("/lots/1", "r3", "x")).await;
        assert!(received.starts_with("HTTP/1.1 405 "), "jobs are read and ended: {received}");
        assert_eq!(fixture.log(), "", "no transcriber gets a call");
    });
}

#[test]
fn an_idle_connection_does_not_delay_the_shutdown() {
    run(async {
        let fixture = ProxyFixture::bare(3.0);
        let mut unused = fixture.connect().await;
        let started = Instant::now();
        let (closed, ()) = tokio::join!(unused.is_closed(), fixture.proxy.shut_down());
        assert!(closed && started.elapsed() < Duration::from_millis(2000), "{:?}", started.elapsed());
    });
}

#[test]
fn header_and_body_sizes_are_limited() {
    run(async {
        let fixture = ProxyFixture::start(1, vec![]).await;
        let body = "x".repeat(65);
        let received = fixture.exchange(&post("/pages/1", "r1", &body)).await;
        assert!(received.starts_with("HTTP/1.1 413 "), "{received}");
        let chunked =
            "POST /pages/1 HTTP/1.1\nHost: h.example\nRequest-Id: r1\nTransfer-Encoding: chunked\n\n";
        let received = fixture.exchange(&format!("{chunked}41\n{body}\n0\n\n")).await;
        assert!(received.starts_with("HTTP/1.1 413 "), "{received}");
        let head = format!("GET /pages/1 HTTP/1.1\nHost: h.example\nX: {}\n\n", "x".repeat(3000));
        let received = fixture.exchange(&head).await;
        assert!(received.starts_with("HTTP/1.1 431 "), "{received}");
        let received = fixture.exchange(&post("/pages/1", "r1", &"x".repeat(64))).await;
        assert!(received.starts_with("HTTP/1.1 200 "), "{received}");
        assert_eq!(fixture.log().lines().count(), 1);
    });
}

#[test]
fn connections_close_after_the_response_for_http_1_0_and_connection_close() {
    run(async {
        let fixture = ProxyFixture::start(1, vec![]).await;
        for request in [
            "GET /pages/1 HTTP/1.0\nHost: h.example\nRequest-Id: r1\n\n",
            "GET /pages/1 HTTP/1.1\nHost: h.example\nRequest-Id: r1\nConnection: close\n\n",
        ] {
            let mut client = fixture.connect().await;
            client.write(request).await;
            let received = client.response().await;
            assert!(received.ends_with("by default"), "{received}");
            assert!(client.is_closed().await);
        }
    });
}

#[test]
fn idle_time_and_request_head_time_are_limited() {
    run(async {
        let fixture = ProxyFixture::start(1, vec![]).await;
        let mut idle = fixture.connect().await;
        let mut slow = fixture.connect().await;
        slow.write("GET /pages/1 HTTP/1.1\nHost").await;
        let started = Instant::now();
        let slow_closes = async {
            assert!(slow.is_closed().await);
            started.elapsed()
        };
        let idle_closes = async {
            tokio::time::sleep(Duration::from_millis(1500)).await;
            idle.write(&get("/pages/1", "r1")).await;
            assert!(idle.response().await.ends_with("by default"), "it may be idle for two seconds");
            assert!(idle.is_closed().await);
            started.elapsed()
        };
        let (slow, idle) = tokio::join!(slow_closes, idle_closes);
        assert!((550..1500).contains(&slow.as_millis()), "{slow:?}");
        assert!((3400..4500).contains(&idle.as_millis()), "{idle:?}");
    });
}

#[test]
fn a_newer_configuration_applies_at_once_and_an_older_one_is_ignored() {
    run(async {
        let mut fixture = ProxyFixture::start(1, vec![]).await;
        fixture.add("other", "i-other").await;
        let moved = r#"{"name":"n","hostname":"h.example","path_prefix":"/new/","kind":"idempotent",
            "timeout_ms":1500,"target_latency_ms":100,"backend":"other","max_attempts":2}"#;
        assert!(fixture.exchange(&get("/new/1", "r1")).await.starts_with("HTTP/1.1 404 "));
        fixture.proxy.apply(&[configuration(5, moved)]);
        assert!(fixture.exchange(&get("/new/1", "r2")).await.starts_with("HTTP/1.1 200 "));
        assert!(fixture.exchange(&get("/pages/1", "r3")).await.starts_with("HTTP/1.1 404 "));
        fixture.proxy.apply(&[configuration(4, ROUTES)]);
        assert!(fixture.exchange(&get("/new/1", "r4")).await.starts_with("HTTP/1.1 200 "));
        assert_eq!(fixture.script.borrow().id_of(0), "i-other");
        assert_eq!(fixture.log().lines().count(), 2);
    });
}

#[test]
fn a_traffic_split_follows_its_weights() {
    run(async {
        let mut fixture = ProxyFixture::bare(8.0);
        let split = r#"{"name":"n","hostname":"h.example","path_prefix":"/split/","kind":"idempotent",
            "timeout_ms":1500,"target_latency_ms":100,"max_attempts":2,"traffic_split":[
            {"backend":"pages","weight":90},{"backend":"other","weight":10}]}"#;
        fixture.proxy.apply(&[configuration(1, split)]);
        fixture.add("pages", "i-pages").await;
        fixture.add("other", "i-other").await;
        let mut client = fixture.connect().await;
        for number in 0..300 {
            client.write(&get("/split/1", &format!("r{number}"))).await;
            client.response().await;
        }
        let log = fixture.log();
        let first = if fixture.script.borrow().id_of(0) == "i-pages" { "t1 " } else { "t2 " };
        let pages = log.lines().filter(|line| line.starts_with(first)).count();
        assert!((240..=295).contains(&pages), "{pages} of 300");
    });
}

#[test]
fn readiness_requires_a_configuration_and_ends_with_draining() {
    run(async {
        let fixture = ProxyFixture::bare(1.2);
        assert_eq!(fixture.readyz().await, "HTTP/1.1 503 Service Unavailable");
        let asked_at = Instant::now();
        let received = fixture.exchange(&get("/pages/1", "r1")).await;
        let rejected_after = asked_at.elapsed();
        assert!(received.starts_with("HTTP/1.1 503 Service Unavailable\nretry-after: 0.6"), "{received}");
        assert!(rejected_after < Duration::from_millis(140), "{rejected_after:?}");
        fixture.proxy.apply(&[configuration(1, ROUTES)]);
        assert_eq!(fixture.readyz().await, "HTTP/1.1 200 OK");
        let asked = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            fixture.readyz().await
        };
        let ((), status) = tokio::join!(fixture.proxy.shut_down(), asked);
        assert_eq!(status, "HTTP/1.1 503 Service Unavailable");
    });
}

#[test]
fn draining_serves_new_requests_and_finishes_those_in_flight() {
    run(async {
        let mut fixture = ProxyFixture::bare(3.0);
        fixture.proxy.apply(&[configuration(1, ROUTES)]);
        fixture.add("pages", "i-1").await;
        let mut slow = vec![Step::Pause(Duration::from_millis(600))];
        slow.extend(success("slow"));
        fixture.script.borrow_mut().replies = vec![slow].into();
        let mut in_flight = fixture.connect().await;
        in_flight.write(&post("/orders/1", "r1", "x")).await;
        fixture.wait_for_log_lines(1).await;
        let mut idle = fixture.connect().await;
        idle.write(&get("/pages/1", "r2")).await;
        idle.response().await;
        let started = Instant::now();
        let clients = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let mut late = fixture.connect().await;
            late.write(&get("/pages/1", "r3")).await;
            let received = late.response().await;
            approve(
                &received,
                "HTTP/1.1 200 OK\nrequest-id: r3\nresponse-seal: seal.1\nconnection: close\n\
                 content-length: 10\n\nby default",
            );
            assert!(late.is_closed().await);
            let received = in_flight.response().await;
            assert!(received.contains("connection: close") && received.ends_with("slow"), "{received}");
            idle.write(&get("/pages/1", "r4")).await;
            assert!(idle.response().await.ends_with("by default"), "idle connections still serve");
        };
        tokio::join!(fixture.proxy.shut_down(), clients);
        assert!(started.elapsed() < Duration::from_millis(2500), "{:?}", started.elapsed());
    });
}

/// Exceeds the body limit of every configuration in these tests, and of a typical one.
const LARGE_JOB_BYTES: usize = 3 << 20;

#[test]
fn a_large_job_waits_for_the_first_configuration() {
    const ROLLOUT: &str = r#"{"name":"r","hostname":"h.example","path_prefix":"/lot/","kind":"rollout",
        "timeout_ms":1500,"target_latency_ms":100,"backend":"pages","max_attempts":2}"#;
    run(async {
        let fixture = ProxyFixture::bare(8.0);
        let body = "x".repeat(LARGE_JOB_BYTES);
        let job = format!(
            "POST /lot/1 HTTP/1.1\nHost: h.example\nRequest-Id: r1\nContent-Length: {LARGE_JOB_BYTES}\n\n{body}"
        );
        let mut client = fixture.connect().await;
        client.write(&job).await;
        // A later request with a deadline is rejected at once. By then the job has been read and waits for
        // the configuration.
        let rejected = fixture.exchange(&get("/pages/1", "r2")).await;
        assert!(rejected.starts_with("HTTP/1.1 503 "), "{rejected}");
        fixture.proxy.apply(&[configuration(1, ROLLOUT)]);
        let received = client.response().await;
        assert!(received.starts_with("HTTP/1.1 400 "), "the runner has read it as a job: {received}");
    });
}
