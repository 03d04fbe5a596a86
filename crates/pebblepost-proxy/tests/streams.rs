//! Streams: forwarded event by event, resumed if the route allows it, and never ended as complete when
//! events are missing.

#[expect(dead_code, reason = "each test program uses a part of the support")]
mod support;

use std::time::Duration;
use support::transcriber::{Step, chunk, last_chunk, stream};
use support::{ProxyFixture, approve, get, run};

const ONE: &str = "id: 1\ndata: a\n\n";
const TWO: &str = "id: 2\ndata: b\n\n";
const THREE: &str = "id: 3\ndata: c\n\n";

const HEAD: &str = "HTTP/1.1 200 OK\nrequest-id: r1\nresponse-seal: seal.1\n\
                    content-type: text/event-stream\nkeep-alive: timeout=2\ntransfer-encoding: chunked\n\n";

fn chunked(events: &[&str]) -> String {
    events.iter().map(|event| format!("{:X}\n{event}\n", event.len())).collect()
}

fn complete(events: &[&str]) -> Vec<Step> {
    let mut steps = stream(events);
    steps.push(last_chunk());
    steps
}

fn broken(events: &[&str]) -> Vec<Step> {
    let mut steps = stream(events);
    steps.push(Step::Pause(Duration::from_millis(20)));
    steps.push(Step::Reset);
    steps
}

#[test]
fn events_are_forwarded_as_they_arrive() {
    run(async {
        let mut reply = stream(&[ONE]);
        reply.push(Step::Pause(Duration::from_millis(300)));
        reply.extend([chunk(TWO), last_chunk()]);
        let fixture = ProxyFixture::start(2, vec![reply]).await;
        let mut client = fixture.connect().await;
        client.write(&get("/live/1", "r1")).await;
        let started = std::time::Instant::now();
        let first = client.read_until("data: a\n\n").await;
        assert!(first.ends_with("data: a\n\n"), "{first}");
        assert!(started.elapsed() < Duration::from_millis(250), "not buffered");
        let rest = client.read_until("0\r\n\r\n").await;
        approve(&(first + &rest), &format!("{HEAD}{}0\n\n", chunked(&[ONE, TWO])));
    });
}

#[test]
fn a_broken_stream_without_resumption_does_not_look_complete() {
    run(async {
        let fixture = ProxyFixture::start(3, vec![broken(&[ONE, TWO])]).await;
        let received = fixture.exchange(&get("/live/1", "r1")).await;
        approve(&received, &format!("{HEAD}{}[closed]", chunked(&[ONE, TWO])));
        assert_eq!(fixture.log().lines().count(), 1, "ran once");
        assert_eq!(fixture.proxy.metrics().streams_aborted, 1);
    });
}

#[test]
fn a_broken_stream_is_resumed_within_its_response() {
    run(async {
        let fixture = ProxyFixture::start(3, vec![broken(&[ONE, TWO]), complete(&[THREE])]).await;
        let received = fixture.exchange(&get("/drafts/1", "r1")).await;
        approve(&received, &format!("{HEAD}{}0\n\n", chunked(&[ONE, TWO, THREE])));
        let log = fixture.log();
        let second = log.lines().nth(1).unwrap();
        assert!(second.contains(" request-id=r1 last-event-id=2 "), "{log}");
        assert_eq!(fixture.proxy.metrics().streams_resumed, 1);
    });
}

#[test]
fn an_idle_stream_is_resumed() {
    run(async {
        let mut silent = stream(&[ONE]);
        silent.push(Step::Silence);
        let fixture = ProxyFixture::start(3, vec![silent, complete(&[TWO])]).await;
        let received = fixture.exchange(&get("/drafts/1", "r1").replace("2000", "5000")).await;
        approve(&received, &format!("{HEAD}{}0\n\n", chunked(&[ONE, TWO])));
    });
}

#[test]
fn repeated_events_are_dropped_and_missing_events_abort_the_stream() {
    run(async {
        let fixture = ProxyFixture::start(3, vec![broken(&[ONE, TWO]), complete(&[TWO, THREE])]).await;
        let received = fixture.exchange(&get("/drafts/1", "r1")).await;
        approve(&received, &format!("{HEAD}{}0\n\n", chunked(&[ONE, TWO, THREE])));

        fixture.script.borrow_mut().replies =
            vec![broken(&[ONE]), complete(&[THREE]), complete(&[THREE]), complete(&[THREE])].into();
        let received = fixture.exchange(&get("/drafts/1", "r1")).await;
        approve(&received, &format!("{HEAD}{}[closed]", chunked(&[ONE])));
    });
}

#[test]
fn the_route_limits_the_attempts_that_resume_a_stream() {
    run(async {
        let fixture = ProxyFixture::start(6, vec![broken(&[ONE]), broken(&[TWO]), broken(&[THREE])]).await;
        let received = fixture.exchange(&get("/drafts/1", "r1")).await;
        approve(&received, &format!("{HEAD}{}[closed]", chunked(&[ONE, TWO, THREE])));
        let log = fixture.log();
        assert!(log.lines().all(|line| !line.starts_with("t4")), "{log}");
    });
}

#[test]
fn a_client_disconnect_closes_the_stream_of_the_transcriber() {
    run(async {
        let mut reply = stream(&[ONE]);
        reply.push(Step::Silence);
        let fixture = ProxyFixture::start(2, vec![reply]).await;
        let mut client = fixture.connect().await;
        client.write(&get("/live/1", "r1")).await;
        client.read_until("data: a\n\n").await;
        drop(client);
        fixture.wait_for_log_lines(2).await;
        assert!(fixture.log().ends_with("t1 < connection closed"));
    });
}
