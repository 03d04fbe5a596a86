//! The Faktory front against stand-in producers and workers.

mod common;

use common::{RunningDaemon, Wire};
use pebblepost::front::faktory::password_hash;
use pebblepost::net::ListenerKind;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

fn start(faktory: Value) -> RunningDaemon {
    let mut faktory = faktory;
    faktory["listen"] = json!("127.0.0.1:0");
    RunningDaemon::start(None, Some(json!({"faktory": faktory})))
}

fn hello(daemon: &RunningDaemon, wid: Option<&str>) -> Wire {
    let mut wire = daemon.connect(ListenerKind::Faktory);
    assert_eq!(wire.line(), r#"+HI {"v":2}"#);
    let mut hello = json!({"v": 2, "hostname": "test", "pid": 1});
    if let Some(wid) = wid {
        hello["wid"] = json!(wid);
    }
    wire.send(&format!("HELLO {hello}\r\n"));
    assert_eq!(wire.line(), "+OK");
    wire
}

fn job(jid: &str) -> Value {
    json!({"jid": jid, "jobtype": "segment", "args": [1], "queue": "default"})
}

fn push(wire: &mut Wire, job: &Value) -> String {
    wire.send(&format!("PUSH {job}\r\n"));
    wire.line()
}

/// Fetches once; `None`: no job came.
fn fetch(wire: &mut Wire) -> Option<Value> {
    wire.send("FETCH default\r\n");
    match wire.line().as_str() {
        "$-1" | "" => None,
        _ => Some(serde_json::from_str(&wire.line()).expect("a job in JSON")),
    }
}

type Runs = Arc<Mutex<Vec<(String, String, Instant)>>>;

/// A worker with one slot that records its jobs and ends each with the command that `last` returns, if any.
fn worker(
    daemon: &RunningDaemon, wid: &str, runs: &Runs, last: fn(&str) -> Option<String>,
) -> JoinHandle<()> {
    let (mut wire, wid, runs) = (hello(daemon, Some(wid)), wid.to_owned(), runs.clone());
    std::thread::spawn(move || {
        loop {
            wire.send("FETCH default\r\n");
            match wire.line().as_str() {
                "" => return,
                "$-1" => continue,
                _ => {}
            }
            let job: Value = serde_json::from_str(&wire.line()).expect("a job in JSON");
            let jid = job["jid"].as_str().expect("a jid").to_owned();
            runs.lock().expect("no panic").push((jid.clone(), wid.clone(), Instant::now()));
            match last(&jid) {
                Some(word) => wire.send(&format!("{word} {}\r\n", json!({"jid": jid}))),
                None => std::thread::sleep(Duration::from_secs(60)),
            }
            wire.line();
        }
    })
}

fn acks(_: &str) -> Option<String> {
    Some("ACK".to_owned())
}

#[test]
fn one_answer_for_each_job_though_workers_fall_silent_drain_and_fail() {
    let daemon = start(json!({"reserve_for_s": 0.3, "queues": {"default": {"deadline_s": 4}}}));
    let runs = Runs::default();
    worker(&daemon, "good", &runs, acks);
    worker(&daemon, "silent", &runs, |_| None);
    worker(&daemon, "failing", &runs, |_| Some("FAIL".to_owned()));
    let mut drained = hello(&daemon, Some("drained"));
    drained.send("FETCH default\r\n");
    let mut beat = hello(&daemon, Some("drained"));
    beat.send("BEAT {\"wid\":\"drained\",\"current_state\":\"quiet\"}\r\n");
    assert_eq!(beat.line(), "+OK");

    let pushes: Vec<_> = (0..40)
        .map(|i| {
            let mut wire = hello(&daemon, None);
            std::thread::spawn(move || (i, Instant::now(), push(&mut wire, &job(&format!("j{i}"))), wire))
        })
        .collect();
    let mut answers = HashMap::new();
    for push in pushes {
        let (i, started, answer, mut wire) = push.join().expect("no panic");
        assert!(started.elapsed() < Duration::from_millis(4_500), "{i} is answered before its deadline");
        // Exactly one: the next reply on the wire is that to the next command.
        wire.send("NONSENSE\r\n");
        assert_eq!(wire.line(), "-ERR unknown command", "after job {i}");
        answers.insert(format!("j{i}"), answer);
    }
    let runs = runs.lock().expect("no panic");
    for (jid, answer) in &answers {
        let by: Vec<&str> =
            runs.iter().filter(|(run, ..)| run == jid).map(|(_, worker, _)| worker.as_str()).collect();
        // These workers do not deduplicate: a job that may have run is not retried.
        assert!(by.len() <= 1, "{jid} ran at {by:?}");
        match (by.first(), answer.as_str()) {
            (Some(&"good"), "+OK") | (Some(&("silent" | "failing")), "-ERR failed, the job may have run") => {
            }
            (None, refused) if refused.starts_with("-ERR refused, come back in ") => {}
            other => panic!("{jid}: {other:?}"),
        }
    }
    assert!(answers.values().any(|answer| answer == "+OK"), "somebody is served");
    assert_eq!(drained.line(), "$-1", "nothing for a drained worker");
}

#[test]
fn a_repeat_gets_the_answer_of_the_first_and_runs_nothing() {
    let daemon = start(json!({"key": "order"}));
    let runs = Runs::default();
    let keyed = |jid: &str| {
        let mut job = job(jid);
        job["custom"] = json!({"order": 7});
        job
    };
    let mut first = hello(&daemon, None);
    let mut second = hello(&daemon, None);
    first.send(&format!("PUSH {}\r\n", keyed("a")));
    second.send(&format!("PUSH {}\r\n", keyed("b")));
    worker(&daemon, "w", &runs, acks);
    assert_eq!(first.line(), "+OK");
    assert_eq!(second.line(), "+OK", "while the first is under way");
    assert_eq!(push(&mut second, &keyed("c")), "+OK", "after it");
    assert_eq!(push(&mut second, &job("a")), "+OK", "another key, so another job");
    assert_eq!(runs.lock().expect("no panic").len(), 2);
}

#[test]
fn workers_that_drop_repeats_may_get_a_job_again() {
    static FIRST: AtomicBool = AtomicBool::new(true);
    let daemon = start(json!({"queues": {"default": {"workers_drop_repeats": true}}}));
    let runs = Runs::default();
    for wid in ["a", "b"] {
        worker(&daemon, wid, &runs, |_| {
            Some(if FIRST.swap(false, Ordering::SeqCst) { "FAIL" } else { "ACK" }.to_owned())
        });
    }
    assert_eq!(push(&mut hello(&daemon, None), &job("r")), "+OK");
    let runs = runs.lock().expect("no panic");
    assert_eq!(runs.len(), 2, "{runs:?}");
}

#[test]
fn a_job_waits_for_a_slot_that_is_busy_for_a_moment() {
    let daemon = start(json!({}));
    let runs = Runs::default();
    worker(&daemon, "w", &runs, |_| {
        std::thread::sleep(Duration::from_millis(150));
        Some("ACK".to_owned())
    });
    let (mut first, mut second) = (hello(&daemon, None), hello(&daemon, None));
    first.send(&format!("PUSH {}\r\n", job("a")));
    common::within(Duration::from_secs(5), "a first run", || runs.lock().expect("no panic").first().cloned());
    // The only slot is busy: sent there, the job would be rejected and could not be sent to that worker again.
    assert_eq!(push(&mut second, &job("b")), "+OK");
    assert_eq!(first.line(), "+OK");
}

#[test]
fn a_job_with_no_free_slot_is_refused_at_once_with_when_to_come_back() {
    let daemon = start(json!({}));
    let mut producer = hello(&daemon, None);
    let start = Instant::now();
    let answer = push(&mut producer, &job("x"));
    assert!(answer.starts_with("-ERR refused, come back in "), "{answer}");
    assert!(start.elapsed() < Duration::from_millis(4_000));
    // Until the window ends a repeat would get the same reply: the advised delay covers it.
    let secs: f64 = answer.split(' ').nth(5).and_then(|n| n.parse().ok()).expect("seconds");
    assert!((5.0..=10.0).contains(&secs), "{answer}");
    assert!(push(&mut producer, &job("x")).starts_with("-ERR refused, "));
}

#[test]
fn a_drain_is_kept_within_half_a_second_while_jobs_flow() {
    let daemon = start(json!({}));
    let runs = Runs::default();
    worker(&daemon, "stays", &runs, acks);
    worker(&daemon, "drains", &runs, acks);
    let mut beat = hello(&daemon, Some("drains"));
    let mut producer = hello(&daemon, None);
    let mut notified = None;
    for i in 0..60 {
        if i == 20 {
            beat.send("BEAT {\"current_state\":\"terminate\"}\r\n");
            assert_eq!(beat.line(), "+OK");
            notified = Some(Instant::now());
        }
        assert_eq!(push(&mut producer, &job(&format!("d{i}"))), "+OK");
        std::thread::sleep(Duration::from_millis(20));
    }
    let runs = runs.lock().expect("no panic");
    let notified = notified.expect("was told");
    assert!(runs.iter().any(|(_, worker, _)| worker == "drains"), "it worked before");
    let late = runs
        .iter()
        .filter(|(_, worker, at)| worker == "drains" && *at > notified + Duration::from_millis(500));
    assert_eq!(late.count(), 0);
}

#[test]
fn a_lost_connection_may_have_run_and_a_late_ack_is_dropped() {
    let daemon = start(json!({"reserve_for_s": 0.2}));
    for (wid, breaks) in [("breaks", true), ("late", false)] {
        let mut producer = hello(&daemon, None);
        let mut worker = hello(&daemon, Some(wid));
        producer.send(&format!("PUSH {}\r\n", job(wid)));
        let fetched = common::within(Duration::from_secs(5), "a job comes", || fetch(&mut worker));
        assert_eq!(fetched["jid"], wid);
        if breaks {
            worker.close();
            assert_eq!(producer.line(), "-ERR failed, the job may have run");
        } else {
            assert_eq!(producer.line(), "-ERR failed, the job may have run");
            worker.send("ACK {\"jid\":\"late\"}\r\n");
            assert_eq!(worker.line(), "+OK");
            worker.close();
        }
    }
}

#[test]
fn a_drain_asked_for_here_has_the_worker_go_quiet() {
    let operator = json!({"faktory": {"listen": "127.0.0.1:0"}, "fleet": {"control": "127.0.0.1:0"}});
    let daemon = RunningDaemon::start(None, Some(operator));
    let say = |line: Value| {
        let mut wire = common::Wire::new(
            std::net::TcpStream::connect(daemon.control.expect("set")).expect("a listener"),
        );
        wire.send(&format!("{line}\n"));
        wire.line()
    };
    let mut worker = hello(&daemon, Some("w"));
    assert!(fetch(&mut worker).is_none());
    let beat = |worker: &mut common::Wire| {
        worker.send("BEAT {}\r\n");
        match worker.line() {
            line if line == "$17" => worker.line(),
            line => line,
        }
    };
    assert_eq!(beat(&mut worker), "+OK");
    assert_eq!(say(json!({"drain": "w"})), r#"{"ok":true}"#);
    let limit = Duration::from_secs(2);
    common::within(limit, "quiet", || (beat(&mut worker) == r#"{"state":"quiet"}"#).then_some(()));
    assert_eq!(say(json!({"undrain": "w"})), r#"{"ok":true}"#);
    common::within(limit, "not quiet", || (beat(&mut worker) == "+OK").then_some(()));
    assert!(say(json!({"undrain": "w"})).contains("no drain mark"));
    assert!(say(json!({"drain": ""})).contains("a name is missing"));
    assert!(say(json!([1])).contains("error"));
}

#[test]
fn passwords_versions_and_bad_commands() {
    let daemon = start(json!({"password": "sesame"}));
    let greet = |password: &str| {
        let mut wire = daemon.connect(ListenerKind::Faktory);
        let hi: Value = serde_json::from_str(wire.line().trim_start_matches("+HI ")).expect("JSON");
        let rounds = u32::try_from(hi["i"].as_u64().expect("rounds")).expect("few");
        let hash = password_hash(password, hi["s"].as_str().expect("a salt"), rounds);
        wire.send(&format!("HELLO {}\r\n", json!({"v": 2, "pwdhash": hash})));
        (wire.line(), wire)
    };
    assert_eq!(greet("guess").0, "-ERR invalid password");
    let (ok, mut wire) = greet("sesame");
    assert_eq!(ok, "+OK");
    for (command, reply) in [
        ("PUSH {nonsense", "-ERR malformed JSON, an object is wanted"),
        ("PUSH {\"jid\":\"1\"}", "-ERR a job needs jid, jobtype and args"),
        ("PUSH {\"jid\":\"1\",\"jobtype\":\"t\",\"args\":[],\"queue\":\"none\"}", "-ERR unknown queue"),
        ("FLUSH", "-ERR unknown command"),
        ("FETCH default", "-ERR only workers with a wid fetch"),
        ("BEAT {\"wid\":\"nobody\"}", "-ERR unknown worker"),
        ("ACK {}", "-ERR jid is missing"),
    ] {
        wire.send(&format!("{command}\r\n"));
        assert_eq!(wire.line(), reply, "{command}");
    }
    wire.send("INFO\r\n");
    assert!(wire.line().starts_with('$'));
    assert!(wire.line().contains("\"faktory\""));
    wire.send("END\r\n");
    assert!(wire.ends());
    let mut rude = daemon.connect(ListenerKind::Faktory);
    rude.line();
    rude.send("PUSH {}\r\n");
    assert_eq!(rude.line(), "-ERR say HELLO first");
}
