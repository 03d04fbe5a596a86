//! Tests the Faktory listener with stand-in producers and workers.

mod common;

use common::{Connection, RunningDaemon};
use pebblepost::front::faktory::password_hash;
use pebblepost::net::ListenerKind;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

fn start_daemon(faktory: Value) -> RunningDaemon {
    let mut faktory = faktory;
    faktory["listen"] = json!("127.0.0.1:0");
    RunningDaemon::start(None, Some(json!({"faktory": faktory})))
}

fn connect_client(daemon: &RunningDaemon, wid: Option<&str>) -> Connection {
    let mut connection = daemon.connect(ListenerKind::Faktory);
    assert_eq!(connection.read_line(), r#"+HI {"v":2}"#);
    let mut hello = json!({"v": 2, "hostname": "test", "pid": 1});
    if let Some(wid) = wid {
        hello["wid"] = json!(wid);
    }
    connection.send(&format!("HELLO {hello}\r\n"));
    assert_eq!(connection.read_line(), "+OK");
    connection
}

fn job(jid: &str) -> Value {
    json!({"jid": jid, "jobtype": "segment", "args": [1], "queue": "default"})
}

fn push(connection: &mut Connection, job: &Value) -> String {
    connection.send(&format!("PUSH {job}\r\n"));
    connection.read_line()
}

/// Fetches once. Returns `None` if no job came.
fn fetch(connection: &mut Connection) -> Option<Value> {
    connection.send("FETCH default\r\n");
    match connection.read_line().as_str() {
        "$-1" | "" => None,
        _ => Some(serde_json::from_str(&connection.read_line()).expect("a job in JSON")),
    }
}

type Runs = Arc<Mutex<Vec<(String, String, Instant)>>>;

/// Starts a worker with one slot that records its jobs and ends each with the command that `final_command` returns. If that
/// returns `None`, the job never ends.
fn start_worker(
    daemon: &RunningDaemon, wid: &str, runs: &Runs, final_command: fn(&str) -> Option<String>,
) -> JoinHandle<()> {
    let (mut connection, wid, runs) = (connect_client(daemon, Some(wid)), wid.to_owned(), runs.clone());
    std::thread::spawn(move || {
        loop {
            connection.send("FETCH default\r\n");
            match connection.read_line().as_str() {
                "" => return,
                "$-1" => continue,
                _ => {}
            }
            let job: Value = serde_json::from_str(&connection.read_line()).expect("a job in JSON");
            let jid = job["jid"].as_str().expect("a jid").to_owned();
            runs.lock().expect("no thread has panicked").push((jid.clone(), wid.clone(), Instant::now()));
            match final_command(&jid) {
                Some(command) => connection.send(&format!("{command} {}\r\n", json!({"jid": jid}))),
                None => std::thread::sleep(Duration::from_secs(60)),
            }
            connection.read_line();
        }
    })
}

fn acknowledge(_: &str) -> Option<String> {
    Some("ACK".to_owned())
}

#[test]
fn each_job_gets_one_reply_when_workers_hang_drain_or_fail() {
    let daemon = start_daemon(json!({"reserve_for_s": 0.3, "queues": {"default": {"deadline_s": 4}}}));
    let runs = Runs::default();
    start_worker(&daemon, "good", &runs, acknowledge);
    start_worker(&daemon, "silent", &runs, |_| None);
    start_worker(&daemon, "failing", &runs, |_| Some("FAIL".to_owned()));
    let mut drained = connect_client(&daemon, Some("drained"));
    drained.send("FETCH default\r\n");
    let mut beat = connect_client(&daemon, Some("drained"));
    beat.send("BEAT {\"wid\":\"drained\",\"current_state\":\"quiet\"}\r\n");
    assert_eq!(beat.read_line(), "+OK");

    let pushes: Vec<_> = (0..40)
        .map(|i| {
            let mut connection = connect_client(&daemon, None);
            std::thread::spawn(move || {
                (i, Instant::now(), push(&mut connection, &job(&format!("j{i}"))), connection)
            })
        })
        .collect();
    let mut answers = HashMap::new();
    for push in pushes {
        let (i, started, answer, mut connection) = push.join().expect("no thread has panicked");
        assert!(started.elapsed() < Duration::from_millis(4_500), "job {i} got no reply within 4.5 s");
        // Each job gets exactly one reply: the next reply on the connection is that to the next command.
        connection.send("NONSENSE\r\n");
        assert_eq!(connection.read_line(), "-ERR unknown command", "after job {i}");
        answers.insert(format!("j{i}"), answer);
    }
    let runs = runs.lock().expect("no thread has panicked");
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
    assert!(answers.values().any(|answer| answer == "+OK"), "no job was served");
    assert_eq!(drained.read_line(), "$-1", "a drained worker got a job");
}

#[test]
fn a_duplicate_job_gets_the_reply_of_the_first_without_running() {
    let daemon = start_daemon(json!({"key": "order"}));
    let runs = Runs::default();
    let keyed = |jid: &str| {
        let mut job = job(jid);
        job["custom"] = json!({"order": 7});
        job
    };
    let mut first = connect_client(&daemon, None);
    let mut second = connect_client(&daemon, None);
    first.send(&format!("PUSH {}\r\n", keyed("a")));
    second.send(&format!("PUSH {}\r\n", keyed("b")));
    start_worker(&daemon, "w", &runs, acknowledge);
    assert_eq!(first.read_line(), "+OK");
    assert_eq!(second.read_line(), "+OK", "the duplicate came while the first job was running");
    assert_eq!(push(&mut second, &keyed("c")), "+OK", "the duplicate came after the first job");
    assert_eq!(push(&mut second, &job("a")), "+OK", "a job with another key is not a duplicate");
    assert_eq!(runs.lock().expect("no thread has panicked").len(), 2);
}

#[test]
fn a_failed_job_is_retried_at_workers_that_deduplicate() {
    static FIRST: AtomicBool = AtomicBool::new(true);
    let daemon = start_daemon(json!({"queues": {"default": {"workers_drop_repeats": true}}}));
    let runs = Runs::default();
    for wid in ["a", "b"] {
        start_worker(&daemon, wid, &runs, |_| {
            Some(if FIRST.swap(false, Ordering::SeqCst) { "FAIL" } else { "ACK" }.to_owned())
        });
    }
    assert_eq!(push(&mut connect_client(&daemon, None), &job("r")), "+OK");
    let runs = runs.lock().expect("no thread has panicked");
    assert_eq!(runs.len(), 2, "{runs:?}");
}

#[test]
fn a_job_waits_for_a_briefly_busy_slot() {
    let daemon = start_daemon(json!({}));
    let runs = Runs::default();
    start_worker(&daemon, "w", &runs, |_| {
        std::thread::sleep(Duration::from_millis(150));
        Some("ACK".to_owned())
    });
    let (mut first, mut second) = (connect_client(&daemon, None), connect_client(&daemon, None));
    first.send(&format!("PUSH {}\r\n", job("a")));
    common::wait_for(Duration::from_secs(5), "the first job did not start", || {
        runs.lock().expect("no thread has panicked").first().cloned()
    });
    // The only slot is busy. If the job were sent there at once, it would be rejected and could not be sent to that worker
    // again.
    assert_eq!(push(&mut second, &job("b")), "+OK");
    assert_eq!(first.read_line(), "+OK");
}

#[test]
fn a_job_without_a_worker_is_rejected_with_a_retry_delay() {
    let daemon = start_daemon(json!({}));
    let mut producer = connect_client(&daemon, None);
    let start = Instant::now();
    let answer = push(&mut producer, &job("x"));
    assert!(answer.starts_with("-ERR refused, come back in "), "{answer}");
    assert!(start.elapsed() < Duration::from_millis(4_000));
    // A duplicate gets the same reply until the deduplication window ends, so the advised delay covers the window.
    let secs: f64 = answer.split(' ').nth(5).and_then(|n| n.parse().ok()).expect("seconds");
    assert!((5.0..=10.0).contains(&secs), "{answer}");
    assert!(push(&mut producer, &job("x")).starts_with("-ERR refused, "));
}

#[test]
fn a_drain_takes_effect_within_half_a_second_under_load() {
    let daemon = start_daemon(json!({}));
    let runs = Runs::default();
    start_worker(&daemon, "stays", &runs, acknowledge);
    start_worker(&daemon, "drains", &runs, acknowledge);
    let mut beat = connect_client(&daemon, Some("drains"));
    let mut producer = connect_client(&daemon, None);
    let mut notified = None;
    for i in 0..60 {
        if i == 20 {
            beat.send("BEAT {\"current_state\":\"terminate\"}\r\n");
            assert_eq!(beat.read_line(), "+OK");
            notified = Some(Instant::now());
        }
        assert_eq!(push(&mut producer, &job(&format!("d{i}"))), "+OK");
        std::thread::sleep(Duration::from_millis(20));
    }
    let runs = runs.lock().expect("no thread has panicked");
    let notified = notified.expect("the drain was sent");
    assert!(runs.iter().any(|(_, worker, _)| worker == "drains"), "the worker got no job before its drain");
    let late = runs
        .iter()
        .filter(|(_, worker, at)| worker == "drains" && *at > notified + Duration::from_millis(500));
    assert_eq!(late.count(), 0);
}

#[test]
fn a_lost_connection_fails_the_job_and_a_late_ack_is_ignored() {
    let daemon = start_daemon(json!({"reserve_for_s": 0.2}));
    for (wid, breaks) in [("breaks", true), ("late", false)] {
        let mut producer = connect_client(&daemon, None);
        let mut worker = connect_client(&daemon, Some(wid));
        producer.send(&format!("PUSH {}\r\n", job(wid)));
        let fetched =
            common::wait_for(Duration::from_secs(5), "the worker got no job", || fetch(&mut worker));
        assert_eq!(fetched["jid"], wid);
        if breaks {
            worker.close();
            assert_eq!(producer.read_line(), "-ERR failed, the job may have run");
        } else {
            assert_eq!(producer.read_line(), "-ERR failed, the job may have run");
            worker.send("ACK {\"jid\":\"late\"}\r\n");
            assert_eq!(worker.read_line(), "+OK");
            worker.close();
        }
    }
}

#[test]
fn an_operator_drain_at_the_agent_quiets_the_worker() {
    let operator = json!({"faktory": {"listen": "127.0.0.1:0"}, "fleet": {"control": "127.0.0.1:0"}});
    let daemon = RunningDaemon::start(None, Some(operator));
    let send_agent_command = |line: Value| {
        let mut connection = common::Connection::new(
            std::net::TcpStream::connect(daemon.control_address.expect("a control listener is configured"))
                .expect("a listener"),
        );
        connection.send(&format!("{line}\n"));
        connection.read_line()
    };
    let mut worker = connect_client(&daemon, Some("w"));
    assert!(fetch(&mut worker).is_none());
    let beat = |worker: &mut common::Connection| {
        worker.send("BEAT {}\r\n");
        match worker.read_line() {
            line if line == "$17" => worker.read_line(),
            line => line,
        }
    };
    assert_eq!(beat(&mut worker), "+OK");
    assert_eq!(send_agent_command(json!({"drain": "w"})), r#"{"ok":true}"#);
    let limit = Duration::from_secs(2);
    common::wait_for(limit, "the worker was not told to be quiet", || {
        (beat(&mut worker) == r#"{"state":"quiet"}"#).then_some(())
    });
    assert_eq!(send_agent_command(json!({"undrain": "w"})), r#"{"ok":true}"#);
    common::wait_for(limit, "the worker was still told to be quiet", || {
        (beat(&mut worker) == "+OK").then_some(())
    });
    assert!(send_agent_command(json!({"undrain": "w"})).contains("no drain mark"));
    assert!(send_agent_command(json!({"drain": ""})).contains("a name is missing"));
    assert!(send_agent_command(json!([1])).contains("error"));
}

#[test]
fn passwords_are_checked_and_bad_commands_get_errors() {
    let daemon = start_daemon(json!({"password": "sesame"}));
    let log_in = |password: &str| {
        let mut connection = daemon.connect(ListenerKind::Faktory);
        let hi: Value =
            serde_json::from_str(connection.read_line().trim_start_matches("+HI ")).expect("JSON");
        let rounds = u32::try_from(hi["i"].as_u64().expect("rounds")).expect("few");
        let hash = password_hash(password, hi["s"].as_str().expect("a salt"), rounds);
        connection.send(&format!("HELLO {}\r\n", json!({"v": 2, "pwdhash": hash})));
        (connection.read_line(), connection)
    };
    assert_eq!(log_in("guess").0, "-ERR invalid password");
    let (ok, mut connection) = log_in("sesame");
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
        connection.send(&format!("{command}\r\n"));
        assert_eq!(connection.read_line(), reply, "{command}");
    }
    connection.send("INFO\r\n");
    assert!(connection.read_line().starts_with('$'));
    assert!(connection.read_line().contains("\"faktory\""));
    connection.send("END\r\n");
    assert!(connection.wait_for_close());
    let mut unauthenticated = daemon.connect(ListenerKind::Faktory);
    unauthenticated.read_line();
    unauthenticated.send("PUSH {}\r\n");
    assert_eq!(unauthenticated.read_line(), "-ERR say HELLO first");
}
