//! Transcribers that say nothing, clients that go away, and services without transcribers.

mod support;

use pebblepost_messages::feed::InstanceState;
use std::time::{Duration, Instant};
use support::transcriber::{Act, success};
use support::{Rig, approve, get, post, run};

#[test]
fn a_silent_transcriber_that_is_dark_is_given_up_where_the_request_may_be_repeated() {
    run(async {
        let rig = Rig::start(3, vec![vec![Act::Silence], success("of another")]).await;
        let request = get("/pages/1", "r1");
        let exchange = rig.exchange(&request);
        let darken = async {
            rig.reached_times(1).await;
            let id = rig.script.borrow().id_of(0);
            rig.script.borrow_mut().dark.push(id);
        };
        let (received, ()) = tokio::join!(exchange, darken);
        assert!(received.ends_with("of another"), "{received}");
    });
}

#[test]
fn a_silent_transcriber_that_tells_its_load_is_waited_for() {
    run(async {
        let mut slow = vec![Act::Pause(Duration::from_millis(700))];
        slow.extend(success("slow"));
        let rig = Rig::start(3, vec![slow]).await;
        let received = rig.exchange(&get("/pages/1", "r1")).await;
        assert!(received.ends_with("slow"), "{received}");
        assert_eq!(rig.log().lines().count(), 1);
    });
}

#[test]
fn what_may_have_run_and_got_no_answer_ends_at_its_deadline() {
    run(async {
        let rig = Rig::start(2, vec![vec![Act::Silence]]).await;
        let request = post("/orders/1", "r1", "x").replace("Deadline-Ms: 2000", "Deadline-Ms: 300");
        let started = Instant::now();
        let received = rig.exchange(&request).await;
        approve(&received, "HTTP/1.1 504 Gateway Timeout\nkeep-alive: timeout=2\ncontent-length: 0\n\n");
        let took = started.elapsed();
        assert!((200..450).contains(&took.as_millis()), "{took:?}");
        rig.reached_times(2).await;
        approve(
            &rig.log(),
            "t1 < POST /orders/1 host=h.example request-id=r1 with a deadline body=x\nt1 < connection closed",
        );
    });
}

#[test]
fn a_client_that_goes_away_ends_its_attempt() {
    run(async {
        let rig = Rig::start(2, vec![vec![Act::Silence]]).await;
        let mut client = rig.connect().await;
        client.write(&post("/orders/1", "r1", "x")).await;
        rig.reached_times(1).await;
        drop(client);
        rig.reached_times(2).await;
        approve(
            &rig.log(),
            "t1 < POST /orders/1 host=h.example request-id=r1 with a deadline body=x\nt1 < connection closed",
        );
    });
}

#[test]
fn without_transcribers_a_request_is_refused_soon() {
    run(async {
        let rig = Rig::start(0, vec![]).await;
        let started = Instant::now();
        let received = rig.exchange(&post("/orders/1", "r1", "x")).await;
        assert!(received.starts_with("HTTP/1.1 503 Service Unavailable\nretry-after: 0."), "{received}");
        assert!(started.elapsed() < Duration::from_millis(100), "{:?}", started.elapsed());
    });
}

#[test]
fn a_transcriber_whose_port_is_dead_costs_no_attempt() {
    run(async {
        let mut rig = Rig::start(0, vec![]).await;
        let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        rig.announce("pages", "i-dead", dead);
        rig.add("pages", "i-alive").await;
        for number in 0..10 {
            let received = rig.exchange(&post("/orders/1", &format!("r{number}"), "x")).await;
            assert!(received.ends_with("by default"), "{received}");
        }
    });
}

#[test]
fn nothing_new_goes_to_a_transcriber_that_drains_or_is_gone() {
    run(async {
        let mut rig = Rig::start(3, vec![]).await;
        rig.set_state("i-0", InstanceState::Draining);
        rig.set_state("i-1", InstanceState::Gone);
        for number in 0..20 {
            rig.exchange(&get("/pages/1", &format!("r{number}"))).await;
        }
        assert!(rig.log().lines().all(|line| line.starts_with("t1 ")), "one transcriber is left");
        assert_eq!(rig.script.borrow().id_of(0), "i-2");
        rig.set_state("i-2", InstanceState::Draining);
        let received = rig.exchange(&get("/pages/1", "r20")).await;
        assert!(received.starts_with("HTTP/1.1 503 "), "{received}");
        assert_eq!(rig.log(), "");
    });
}

#[test]
fn full_transcribers_get_a_request_refused_at_once() {
    run(async {
        let rig = Rig::start(3, vec![]).await;
        rig.script.borrow_mut().report = r#"{"waiting":9,"running":4}"#.to_owned();
        let started = Instant::now();
        let received = rig.exchange(&get("/pages/1", "r1")).await;
        assert!(received.starts_with("HTTP/1.1 503 Service Unavailable\nretry-after: 0."), "{received}");
        assert!(started.elapsed() < Duration::from_millis(100), "{:?}", started.elapsed());
        assert_eq!(rig.log(), "");
    });
}
