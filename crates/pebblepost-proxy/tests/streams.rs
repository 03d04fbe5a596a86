//! Streams: events as they arrive, resumed where that is allowed, and never complete by mistake.

mod support;

use std::time::Duration;
use support::transcriber::{Act, chunk, last_chunk, stream};
use support::{Rig, approve, get, run};

const ONE: &str = "id: 1\ndata: a\n\n";
const TWO: &str = "id: 2\ndata: b\n\n";
const THREE: &str = "id: 3\ndata: c\n\n";

const HEAD: &str = "HTTP/1.1 200 OK\nrequest-id: r1\nresponse-seal: seal.1\n\
                    content-type: text/event-stream\nkeep-alive: timeout=2\ntransfer-encoding: chunked\n\n";

fn chunked(events: &[&str]) -> String {
    events.iter().map(|event| format!("{:X}\n{event}\n", event.len())).collect()
}

fn complete(events: &[&str]) -> Vec<Act> {
    let mut acts = stream(events);
    acts.push(last_chunk());
    acts
}

fn broken(events: &[&str]) -> Vec<Act> {
    let mut acts = stream(events);
    acts.push(Act::Pause(Duration::from_millis(20)));
    acts.push(Act::Reset);
    acts
}

#[test]
fn events_are_forwarded_as_they_arrive() {
    run(async {
        let mut reply = stream(&[ONE]);
        reply.push(Act::Pause(Duration::from_millis(300)));
        reply.extend([chunk(TWO), last_chunk()]);
        let rig = Rig::start(2, vec![reply]).await;
        let mut client = rig.connect().await;
        client.write(&get("/live/1", "r1")).await;
        let started = std::time::Instant::now();
        let first = client.read_until("data: a\n\n").await;
        assert!(first.ends_with("data: a\n\n"), "{first}");
        assert!(started.elapsed() < Duration::from_millis(250), "not held back");
        let rest = client.read_until("0\r\n\r\n").await;
        approve(&(first + &rest), &format!("{HEAD}{}0\n\n", chunked(&[ONE, TWO])));
    });
}

#[test]
fn a_stream_that_breaks_and_may_not_be_resumed_does_not_look_complete() {
    run(async {
        let rig = Rig::start(3, vec![broken(&[ONE, TWO])]).await;
        let received = rig.exchange(&get("/live/1", "r1")).await;
        approve(&received, &format!("{HEAD}{}[closed]", chunked(&[ONE, TWO])));
        assert_eq!(rig.log().lines().count(), 1, "ran once");
        assert_eq!(rig.proxy.metrics().cut, 1);
    });
}

#[test]
fn a_stream_is_resumed_inside_its_answer() {
    run(async {
        let rig = Rig::start(3, vec![broken(&[ONE, TWO]), complete(&[THREE])]).await;
        let received = rig.exchange(&get("/drafts/1", "r1")).await;
        approve(&received, &format!("{HEAD}{}0\n\n", chunked(&[ONE, TWO, THREE])));
        let log = rig.log();
        let second = log.lines().nth(1).unwrap();
        assert!(second.contains(" request-id=r1 last-event-id=2 "), "{log}");
        assert_eq!(rig.proxy.metrics().resumed, 1);
    });
}

#[test]
fn a_stream_that_falls_silent_is_resumed() {
    run(async {
        let mut silent = stream(&[ONE]);
        silent.push(Act::Silence);
        let rig = Rig::start(3, vec![silent, complete(&[TWO])]).await;
        let received = rig.exchange(&get("/drafts/1", "r1").replace("2000", "5000")).await;
        approve(&received, &format!("{HEAD}{}0\n\n", chunked(&[ONE, TWO])));
    });
}

#[test]
fn what_a_resumed_stream_repeats_is_left_out_and_a_gap_cuts_it() {
    run(async {
        let rig = Rig::start(3, vec![broken(&[ONE, TWO]), complete(&[TWO, THREE])]).await;
        let received = rig.exchange(&get("/drafts/1", "r1")).await;
        approve(&received, &format!("{HEAD}{}0\n\n", chunked(&[ONE, TWO, THREE])));

        rig.script.borrow_mut().replies =
            vec![broken(&[ONE]), complete(&[THREE]), complete(&[THREE]), complete(&[THREE])].into();
        let received = rig.exchange(&get("/drafts/1", "r1")).await;
        approve(&received, &format!("{HEAD}{}[closed]", chunked(&[ONE])));
    });
}

#[test]
fn a_stream_is_taken_up_at_no_more_transcribers_than_the_route_allows() {
    run(async {
        let rig = Rig::start(6, vec![broken(&[ONE]), broken(&[TWO]), broken(&[THREE])]).await;
        let received = rig.exchange(&get("/drafts/1", "r1")).await;
        approve(&received, &format!("{HEAD}{}[closed]", chunked(&[ONE, TWO, THREE])));
        let log = rig.log();
        assert!(log.lines().all(|line| !line.starts_with("t4")), "{log}");
    });
}

#[test]
fn a_client_that_leaves_a_stream_ends_it() {
    run(async {
        let mut reply = stream(&[ONE]);
        reply.push(Act::Silence);
        let rig = Rig::start(2, vec![reply]).await;
        let mut client = rig.connect().await;
        client.write(&get("/live/1", "r1")).await;
        client.read_until("data: a\n\n").await;
        drop(client);
        rig.reached_times(2).await;
        assert!(rig.log().ends_with("t1 < connection closed"));
    });
}
