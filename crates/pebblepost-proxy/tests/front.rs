//! Clients' connections: improper requests, limits, configurations, readiness and the end.

mod support;

use rstest::rstest;
use std::time::{Duration, Instant};
use support::transcriber::{Act, success};
use support::{ROUTES, Rig, approve, configuration, get, post, run};

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
fn improper_requests_are_rejected(#[case] request: &str, #[case] status: &str) {
    run(async move {
        let rig = Rig::start(1, vec![]).await;
        let received = rig.exchange(request).await;
        assert_eq!(received.lines().next().unwrap(), format!("HTTP/1.1 {status}"), "{received}");
        assert_eq!(rig.log(), "", "nothing reaches a transcriber");
    });
}

#[test]
fn calls_of_batch_jobs_go_to_the_runner() {
    const ROLLOUT: &str = r#"{"name":"r","hostname":"h.example","path_prefix":"/lot/","kind":"rollout",
        "timeout_ms":1500,"target_latency_ms":100,"backend":"pages","max_attempts":2}"#;
    run(async {
        let rig = Rig::start(1, vec![]).await;
        rig.proxy.apply(&[configuration(2, ROLLOUT)]);
        let received = rig.exchange(&post("/lot/1", "r1", "no job")).await;
        assert!(received.starts_with("HTTP/1.1 400 "), "the runner reads jobs: {received}");
        let received = rig.exchange(&get("/lot/1", "r2")).await;
        assert!(received.starts_with("HTTP/1.1 404 "), "jobs are posted: {received}");
        let received = rig.exchange(&post("/lots/1", "r3", "x")).await;
        assert!(received.starts_with("HTTP/1.1 405 "), "jobs are read and ended: {received}");
        assert_eq!(rig.log(), "", "nothing of it reaches a transcriber unchanged");
    });
}

#[test]
fn an_unused_connection_does_not_hold_up_the_end() {
    run(async {
        let rig = Rig::bare(3.0);
        let mut unused = rig.connect().await;
        let started = Instant::now();
        let (closed, ()) = tokio::join!(unused.is_closed(), rig.proxy.shut_down());
        assert!(closed && started.elapsed() < Duration::from_millis(2000), "{:?}", started.elapsed());
    });
}

#[test]
fn sizes_are_bounded() {
    run(async {
        let rig = Rig::start(1, vec![]).await;
        let body = "x".repeat(65);
        let received = rig.exchange(&post("/pages/1", "r1", &body)).await;
        assert!(received.starts_with("HTTP/1.1 413 "), "{received}");
        let chunked =
            "POST /pages/1 HTTP/1.1\nHost: h.example\nRequest-Id: r1\nTransfer-Encoding: chunked\n\n";
        let received = rig.exchange(&format!("{chunked}41\n{body}\n0\n\n")).await;
        assert!(received.starts_with("HTTP/1.1 413 "), "{received}");
        let head = format!("GET /pages/1 HTTP/1.1\nHost: h.example\nX: {}\n\n", "x".repeat(3000));
        let received = rig.exchange(&head).await;
        assert!(received.starts_with("HTTP/1.1 431 "), "{received}");
        let received = rig.exchange(&post("/pages/1", "r1", &"x".repeat(64))).await;
        assert!(received.starts_with("HTTP/1.1 200 "), "{received}");
        assert_eq!(rig.log().lines().count(), 1);
    });
}

#[test]
fn old_clients_and_those_that_say_so_are_closed_after_their_answer() {
    run(async {
        let rig = Rig::start(1, vec![]).await;
        for request in [
            "GET /pages/1 HTTP/1.0\nHost: h.example\nRequest-Id: r1\n\n",
            "GET /pages/1 HTTP/1.1\nHost: h.example\nRequest-Id: r1\nConnection: close\n\n",
        ] {
            let mut client = rig.connect().await;
            client.write(request).await;
            let received = client.answer().await;
            assert!(received.ends_with("by default"), "{received}");
            assert!(client.is_closed().await);
        }
    });
}

#[test]
fn connections_may_rest_and_heads_may_take_so_long() {
    run(async {
        let rig = Rig::start(1, vec![]).await;
        let mut resting = rig.connect().await;
        let mut slow = rig.connect().await;
        slow.write("GET /pages/1 HTTP/1.1\nHost").await;
        let started = Instant::now();
        let slow_closes = async {
            assert!(slow.is_closed().await);
            started.elapsed()
        };
        let resting_closes = async {
            tokio::time::sleep(Duration::from_millis(1500)).await;
            resting.write(&get("/pages/1", "r1")).await;
            assert!(resting.answer().await.ends_with("by default"), "it may rest for two seconds");
            assert!(resting.is_closed().await);
            started.elapsed()
        };
        let (slow, resting) = tokio::join!(slow_closes, resting_closes);
        assert!((550..1500).contains(&slow.as_millis()), "{slow:?}");
        assert!((3400..4500).contains(&resting.as_millis()), "{resting:?}");
    });
}

#[test]
fn a_new_configuration_holds_at_once_and_an_old_one_never_again() {
    run(async {
        let mut rig = Rig::start(1, vec![]).await;
        rig.add("other", "i-other").await;
        let moved = r#"{"name":"n","hostname":"h.example","path_prefix":"/new/","kind":"idempotent",
            "timeout_ms":1500,"target_latency_ms":100,"backend":"other","max_attempts":2}"#;
        assert!(rig.exchange(&get("/new/1", "r1")).await.starts_with("HTTP/1.1 404 "));
        rig.proxy.apply(&[configuration(5, moved)]);
        assert!(rig.exchange(&get("/new/1", "r2")).await.starts_with("HTTP/1.1 200 "));
        assert!(rig.exchange(&get("/pages/1", "r3")).await.starts_with("HTTP/1.1 404 "));
        rig.proxy.apply(&[configuration(4, ROUTES)]);
        assert!(rig.exchange(&get("/new/1", "r4")).await.starts_with("HTTP/1.1 200 "));
        assert_eq!(rig.script.borrow().id_of(0), "i-other");
        assert_eq!(rig.log().lines().count(), 2);
    });
}

#[test]
fn a_split_sends_each_service_its_share() {
    run(async {
        let mut rig = Rig::bare(8.0);
        let split = r#"{"name":"n","hostname":"h.example","path_prefix":"/split/","kind":"idempotent",
            "timeout_ms":1500,"target_latency_ms":100,"max_attempts":2,"traffic_split":[
            {"backend":"pages","weight":90},{"backend":"other","weight":10}]}"#;
        rig.proxy.apply(&[configuration(1, split)]);
        rig.add("pages", "i-pages").await;
        rig.add("other", "i-other").await;
        let mut client = rig.connect().await;
        for number in 0..300 {
            client.write(&get("/split/1", &format!("r{number}"))).await;
            client.answer().await;
        }
        let log = rig.log();
        let first = if rig.script.borrow().id_of(0) == "i-pages" { "t1 " } else { "t2 " };
        let pages = log.lines().filter(|line| line.starts_with(first)).count();
        assert!((240..=295).contains(&pages), "{pages} of 300");
    });
}

#[test]
fn ready_once_configured_and_not_when_ending() {
    run(async {
        let rig = Rig::bare(1.2);
        assert_eq!(rig.readyz().await, "HTTP/1.1 503 Service Unavailable");
        let asked_at = Instant::now();
        let received = rig.exchange(&get("/pages/1", "r1")).await;
        let refused_after = asked_at.elapsed();
        assert!(received.starts_with("HTTP/1.1 503 Service Unavailable\nretry-after: 0.6"), "{received}");
        assert!(refused_after < Duration::from_millis(140), "{refused_after:?}");
        rig.proxy.apply(&[configuration(1, ROUTES)]);
        assert_eq!(rig.readyz().await, "HTTP/1.1 200 OK");
        let asked = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            rig.readyz().await
        };
        let ((), status) = tokio::join!(rig.proxy.shut_down(), asked);
        assert_eq!(status, "HTTP/1.1 503 Service Unavailable");
    });
}

#[test]
fn ending_serves_what_still_arrives_and_finishes_what_is_under_way() {
    run(async {
        let mut rig = Rig::bare(3.0);
        rig.proxy.apply(&[configuration(1, ROUTES)]);
        rig.add("pages", "i-1").await;
        let mut slow = vec![Act::Pause(Duration::from_millis(600))];
        slow.extend(success("slow"));
        rig.script.borrow_mut().replies = vec![slow].into();
        let mut under_way = rig.connect().await;
        under_way.write(&post("/orders/1", "r1", "x")).await;
        rig.reached_times(1).await;
        let mut resting = rig.connect().await;
        resting.write(&get("/pages/1", "r2")).await;
        resting.answer().await;
        let started = Instant::now();
        let clients = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let mut late = rig.connect().await;
            late.write(&get("/pages/1", "r3")).await;
            let received = late.answer().await;
            approve(
                &received,
                "HTTP/1.1 200 OK\nrequest-id: r3\nresponse-seal: seal.1\nconnection: close\n\
                 content-length: 10\n\nby default",
            );
            assert!(late.is_closed().await);
            let received = under_way.answer().await;
            assert!(received.contains("connection: close") && received.ends_with("slow"), "{received}");
            resting.write(&get("/pages/1", "r4")).await;
            assert!(resting.answer().await.ends_with("by default"), "resting connections still serve");
        };
        tokio::join!(rig.proxy.shut_down(), clients);
        assert!(started.elapsed() < Duration::from_millis(2500), "{:?}", started.elapsed());
    });
}

/// More than the bounds of any test's configuration, and than a guess of what a configuration would allow.
const LARGE_JOB_BYTES: usize = 3 << 20;

#[test]
fn a_large_job_before_the_first_configuration_waits_for_it() {
    const ROLLOUT: &str = r#"{"name":"r","hostname":"h.example","path_prefix":"/lot/","kind":"rollout",
        "timeout_ms":1500,"target_latency_ms":100,"backend":"pages","max_attempts":2}"#;
    run(async {
        let rig = Rig::bare(8.0);
        let body = "x".repeat(LARGE_JOB_BYTES);
        let job = format!(
            "POST /lot/1 HTTP/1.1\nHost: h.example\nRequest-Id: r1\nContent-Length: {LARGE_JOB_BYTES}\n\n{body}"
        );
        let mut client = rig.connect().await;
        client.write(&job).await;
        // A request with a deadline that comes later is refused at once: by then the job was read, and waits.
        let refused = rig.exchange(&get("/pages/1", "r2")).await;
        assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
        rig.proxy.apply(&[configuration(1, ROLLOUT)]);
        let received = client.answer().await;
        assert!(received.starts_with("HTTP/1.1 400 "), "the runner has read it as a job: {received}");
    });
}
