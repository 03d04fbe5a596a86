//! Tests the platform listener and the connections to workers with stand-ins.

mod common;

use common::{Connection, RunningDaemon, header, job_request, platform_config, send_lines, start_worker};
use pebblepost::front::platform::tenant_id;
use pebblepost::net::ListenerKind;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

fn serve_job(connection: &mut Connection, head: &[String]) {
    let id = header(head, "x-txn").expect("an X-Txn header");
    send_lines(
        connection,
        &[json!({"id": id, "state": "started"}), json!({"id": id, "state": "done", "result": "text"})],
    );
}

fn send_request(daemon: &RunningDaemon, request: &str) -> (Vec<String>, String) {
    let mut connection = daemon.connect(ListenerKind::Platform);
    connection.send(request);
    connection.read_message()
}

#[test]
fn jobs_are_forwarded_unchanged_over_kept_connections() {
    let heads = Arc::new(std::sync::Mutex::new(Vec::new()));
    let seen = heads.clone();
    let good = start_worker(move |connection, head| {
        seen.lock().expect("no thread has panicked").push(head.to_vec());
        serve_job(connection, head);
    });
    let daemon = RunningDaemon::start(Some(platform_config(&[good], None)), None);
    let mut connection = daemon.connect(ListenerKind::Platform);
    connection.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(connection.read_message().0[0], "HTTP/1.1 200 OK");
    // Of three pipelined requests, one of them chunked, each waits for the one before.
    let chunked = job_request("t3", "", "")
        .replace("Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    connection.send(&format!("{}{}{chunked}", job_request("t1", "", "one"), job_request("t2", "", "two")));
    for _ in 0..3 {
        let (head, body) = connection.read_message();
        assert_eq!((head[0].as_str(), body.as_str()), ("HTTP/1.1 200 OK", "text"));
    }
    let heads = heads.lock().expect("no thread has panicked");
    let ids: Vec<_> = heads.iter().map(|head| header(head, "x-txn").expect("an X-Txn header")).collect();
    assert_eq!(ids, ["t1", "t2", "t3"]);
    for head in heads.iter() {
        assert_eq!(head[0], "POST /api?x=1 HTTP/1.1");
        assert!(header(head, "idempotency-key").is_some_and(|key| key.starts_with("kt")));
        let left: u64 = header(head, "x-remaining-ms").and_then(|n| n.parse().ok()).expect("a time");
        assert!((1_000..=2_000).contains(&left));
    }
}

#[test]
fn invalid_requests_get_the_matching_status() {
    let good = start_worker(serve_job);
    let daemon = RunningDaemon::start(Some(platform_config(&[good], None)), None);
    let job = job_request("t", "", "");
    let cases = [
        (job.replace("POST", "GET"), 405, false),
        (job.replace("/api", "/other"), 404, false),
        (job.replace("X-Lane: render", "X-Lane: unheard"), 400, false),
        (job.replace("X-Txn: t\r\n", ""), 400, false),
        (job.replace("X-Remaining-Ms: 2000", "X-Remaining-Ms: soon"), 400, false),
        (job_request("t", "X-Estimate: -1\r\n", ""), 400, false),
        (job_request("t", "X-Labels: slots=many\r\n", ""), 400, false),
        (job_request("t", "Transfer-Encoding: chunked\r\n", ""), 400, true),
        (job_request("t", "Content-Length: 3\r\n", ""), 400, true),
        (job.replace("Content-Length: 0", "Content-Length: 65537"), 413, true),
        (job.replace("Content-Length: 0", "Content-Length: +1"), 400, true),
        ("nonsense\r\n\r\n".to_owned(), 400, true),
        (job_request("t", &format!("X-Long: {}\r\n", "x".repeat(20_000)), ""), 431, true),
        (job.replace("Content-Length: 0", "Transfer-Encoding: gzip"), 501, true),
    ];
    for (request, status, closes) in cases {
        let mut connection = daemon.connect(ListenerKind::Platform);
        connection.send(&request);
        let (head, _) = connection.read_message();
        assert!(
            head[0].starts_with(&format!("HTTP/1.1 {status} ")),
            "{head:?} for {}",
            &request[..request.len().min(300)]
        );
        if closes {
            assert!(connection.wait_for_close());
        } else {
            connection.send(&job_request("t", "", ""));
            assert_eq!(connection.read_message().1, "text", "the connection must stay usable after {status}");
        }
    }
}

#[test]
fn incomplete_requests_time_out_and_kept_connections_stay_open() {
    let daemon = RunningDaemon::start(Some(platform_config(&[start_worker(serve_job)], None)), None);
    let mut kept = daemon.connect(ListenerKind::Platform);
    kept.send(&job_request("t1", "", ""));
    assert_eq!(kept.read_message().1, "text");
    let (start, mut silent, mut endless) =
        (Instant::now(), daemon.connect(ListenerKind::Platform), daemon.connect(ListenerKind::Platform));
    endless.send("POST /api HTTP/1.1\r\n");
    for n in 0..4 {
        std::thread::sleep(Duration::from_millis(500));
        endless.send(&format!("X-{n}: more\r\n"));
    }
    assert!(endless.read_line().starts_with("HTTP/1.1 408 "));
    assert!(silent.wait_for_close() && start.elapsed() < Duration::from_secs(3));
    kept.send(&job_request("t2", "", ""));
    assert_eq!(kept.read_message().1, "text");
}

#[test]
fn a_request_without_a_reachable_worker_is_rejected_at_once_with_retry_after() {
    // The port is closed, so the connection is refused and the request cannot have run.
    let closed =
        TcpListener::bind("127.78.1.2:0").and_then(|listener| listener.local_addr()).expect("a free port");
    let daemon = RunningDaemon::start(Some(platform_config(&[closed], None)), None);
    let start = Instant::now();
    let (head, _) = send_request(&daemon, &job_request("t", "", ""));
    assert_eq!(head[0], "HTTP/1.1 503 Service Unavailable");
    let after: f64 = header(&head, "retry-after").and_then(|n| n.parse().ok()).expect("seconds");
    assert!(after > 0.0);
    assert!(start.elapsed() < Duration::from_millis(1_500), "the rejection took 1.5 s or longer");
}

/// Sends a request to a single worker that handles each attempt with `job`. Returns the number of attempts and the status
/// line that the client gets.
fn count_attempts(job: impl Fn(&mut Connection, &[String]) + Send + Sync + Clone + 'static) -> (u32, String) {
    let count = Arc::new(AtomicU32::new(0));
    let seen = count.clone();
    let counted = start_worker(move |connection, head| {
        seen.fetch_add(1, Ordering::SeqCst);
        job(connection, head);
    });
    let daemon = RunningDaemon::start(Some(platform_config(&[counted], None)), None);
    let (head, _) = send_request(&daemon, &job_request("t", "", ""));
    (count.load(Ordering::SeqCst), head[0].clone())
}

#[test]
fn a_worker_fault_fails_only_its_attempt() {
    let sends_line = |line: Value| {
        move |connection: &mut Connection, _: &[String]| send_lines(connection, std::slice::from_ref(&line))
    };
    for (what, (seen, status)) in [
        ("failed", count_attempts(sends_line(json!({"id": "t", "state": "failed"})))),
        ("lost", count_attempts(sends_line(json!({"id": "t", "state": "lost"})))),
        ("returned", count_attempts(sends_line(json!({"id": "t", "state": "returned"})))),
        ("an unknown state", count_attempts(sends_line(json!({"id": "t", "state": "dreaming"})))),
        ("done with no result", count_attempts(sends_line(json!({"id": "t", "state": "done"})))),
        (
            "the line of another request",
            count_attempts(sends_line(json!({"id": "u", "state": "done", "result": "text"}))),
        ),
        ("no id", count_attempts(sends_line(json!({"state": "done", "result": "text"})))),
        (
            "an endless head",
            count_attempts(|connection, _| while connection.try_send("X-More: of it\r\n") {}),
        ),
        (
            "an endless line",
            count_attempts(|connection, _| {
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                while connection.try_send(&format!("1000\r\n{}\r\n", "x".repeat(0x1000))) {}
            }),
        ),
        (
            "endless empty lines",
            count_attempts(|connection, _| {
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                while connection.try_send("1\r\n\n\r\n") {
                    std::thread::sleep(Duration::from_millis(1));
                }
            }),
        ),
        (
            "a malformed chunk",
            count_attempts(|connection, _| {
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno\r\n")
            }),
        ),
        (
            "500",
            count_attempts(|connection, _| connection.send("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")),
        ),
        ("garbage", count_attempts(|connection, _| connection.send("\u{1}\u{2}garbage\r\n\r\n"))),
        (
            "an end without a final line",
            count_attempts(|connection, _| connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
        ),
        (
            "turned away",
            count_attempts(|connection, _| {
                connection.send("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            }),
        ),
    ] {
        assert!((1..=3).contains(&seen), "{what}: {seen} attempts");
        assert_eq!(status, "HTTP/1.1 503 Service Unavailable", "{what}");
    }
}

#[test]
fn jobs_with_one_key_go_to_one_worker_in_any_list_order() {
    let workers = ["w0", "w1", "w2", "w3"].map(|name| {
        start_worker(move |connection, _| send_lines(connection, &[json!({"state": "done", "result": name})]))
    });
    let served_by = |turn: usize| {
        let mut config = platform_config(&workers, None);
        let hosts = config.pointer_mut("/known/hosts").and_then(Value::as_array_mut).expect("a list");
        hosts.rotate_left(turn);
        let daemon = RunningDaemon::start(Some(config), None);
        let served_with_key =
            |key: u32| send_request(&daemon, &job_request("t", &format!("Cookie: a=b; k={key}\r\n"), "")).1;
        (0..12).map(|half| served_with_key(half / 2)).collect::<Vec<_>>()
    };
    let (one, other) = (served_by(0), served_by(2));
    assert_eq!(one, other);
    assert!(one.chunks(2).all(|pair| pair[0] == pair[1]), "{one:?}");
}

#[test]
fn a_client_disconnection_cancels_its_attempt() {
    let (events, observed) = std::sync::mpsc::channel();
    let waits = start_worker(move |connection, _| {
        events.send("has it").expect("a listener");
        assert!(connection.read_line().is_empty());
        events.send("was closed").expect("a listener");
    });
    let daemon = RunningDaemon::start(Some(platform_config(&[waits], None)), None);
    let mut connection = daemon.connect(ListenerKind::Platform);
    connection.send(&job_request("t", "", ""));
    let limit = Duration::from_secs(5);
    assert_eq!(observed.recv_timeout(limit), Ok("has it"));
    connection.close();
    assert_eq!(observed.recv_timeout(limit), Ok("was closed"));
}

#[test]
fn shutdown_accepts_requests_for_a_grace_period_then_finishes_them() {
    let slow = start_worker(|connection, head| {
        std::thread::sleep(Duration::from_millis(900));
        serve_job(connection, head);
    });
    let mut daemon = RunningDaemon::start(Some(platform_config(&[slow], None)), None);
    let mut idle = daemon.connect(ListenerKind::Platform);
    idle.send("GET /ready HTTP/1.1\r\n\r\n");
    assert_eq!(idle.read_message().0[0], "HTTP/1.1 200 OK");
    daemon.stop();
    common::wait_for(Duration::from_millis(400), "still ready after the stop signal", || {
        idle.send("GET /ready HTTP/1.1\r\n\r\n");
        idle.read_message().0[0].starts_with("HTTP/1.1 503").then_some(())
    });
    let mut late = daemon.connect(ListenerKind::Platform);
    late.send(&job_request("t", "", ""));
    let (head, body) = late.read_message();
    assert_eq!((head[0].as_str(), body.as_str()), ("HTTP/1.1 200 OK", "text"));
    assert_eq!(header(&head, "connection").as_deref(), Some("close"));
    assert!(idle.wait_for_close() && late.wait_for_close());
    daemon.join();
}

/// Starts a discovery that calls `respond` for each request, with the number of the request, from 0. It handles one
/// connection at a time.
fn start_discovery(respond: impl Fn(&mut Connection, u32) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let mut connection = Connection::new(stream);
            connection.read_message();
            respond(&mut connection, n as u32);
        }
    });
    address
}

#[test]
fn the_watch_applies_drains_and_survives_a_malformed_list() {
    let (old, new) = (
        start_worker(|connection, _| connection.send("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")),
        start_worker(serve_job),
    );
    let list = start_discovery(move |connection, n| {
        let send_chunk = |connection: &mut Connection, text: &str| {
            connection.send(&format!("{:x}\r\n{text}\r\n", text.len()))
        };
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        if n == 0 {
            return send_chunk(connection, "{\"seq\":\"garbage\"}\n");
        }
        let host = |host, dial: SocketAddr, health| json!({"host": host, "dial": dial, "site": "b", "class": "m", "block": 1, "health": health, "born_ms": 0});
        let hosts = [host("s-0", old, "draining"), host("s-new", new, "ready")];
        send_chunk(connection, &format!("{}\n", json!({"seq": 2, "whole": false, "hosts": hosts})));
        std::thread::sleep(Duration::from_secs(20));
    });
    let daemon = RunningDaemon::start(Some(platform_config(&[old], Some(list))), None);
    common::wait_for(Duration::from_secs(10), "the new worker did not serve", || {
        (send_request(&daemon, &job_request("t", "", "")).1 == "text").then_some(())
    });
    for _ in 0..10 {
        assert_eq!(
            send_request(&daemon, &job_request("t", "", "")).1,
            "text",
            "a request went to the drained worker"
        );
    }
}

#[test]
fn a_silent_watch_is_reopened() {
    let (events, observed) = std::sync::mpsc::channel();
    let silent = start_discovery(move |connection, n| {
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        events.send((n, Instant::now())).expect("a listener");
        // Only the time-out of the daemon's watch closes the connection.
        assert!(connection.read_line().is_empty());
    });
    let _daemon = RunningDaemon::start(Some(platform_config(&[start_worker(serve_job)], Some(silent))), None);
    let (limit, (_, first)) = (Duration::from_secs(8), observed.recv().expect("a watch"));
    let (n, second) = observed.recv_timeout(limit).expect("another watch");
    assert_eq!(n, 1);
    let after = second - first;
    assert!((Duration::from_millis(2_500)..Duration::from_secs(6)).contains(&after), "{after:?}");
}

#[test]
fn a_reload_moves_the_watch_and_an_invalid_configuration_is_ignored() {
    let (events, observed) = std::sync::mpsc::channel();
    let watched = |name: &'static str, worker: SocketAddr| {
        let events = events.clone();
        start_discovery(move |connection, _| {
            let host = json!({"host": name, "dial": worker, "site": "a", "class": "m", "block": 0, "health": "ready", "born_ms": 0});
            let line = format!("{}\n", json!({"seq": 7, "whole": true, "hosts": [host]}));
            // Reported before the line is sent, so that no event caused by the line is reported earlier.
            events.send((name, "watched")).expect("a listener");
            connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            connection.send(&format!("{:x}\r\n{line}\r\n", line.len()));
            assert!(connection.read_line().is_empty());
            let _ = events.send((name, "left"));
        })
    };
    let start_worker_returning = |text: &'static str| {
        start_worker(move |connection, head| {
            let id = header(head, "x-txn").expect("an X-Txn header");
            send_lines(connection, &[json!({"id": id, "state": "done", "result": text})]);
        })
    };
    let (one, two) = (start_worker_returning("one"), start_worker_returning("two"));
    let (old, new) = (watched("old", one), watched("new", two));
    let mut daemon = RunningDaemon::start(Some(platform_config(&[one], Some(old))), None);
    let limit = Duration::from_secs(5);
    assert_eq!(observed.recv_timeout(limit), Ok(("old", "watched")));
    assert_eq!(send_request(&daemon, &job_request("t1", "", "")).1, "one");
    daemon.reload("{ not JSON");
    daemon.reload(&platform_config(&[one], None).to_string());
    assert_eq!(send_request(&daemon, &job_request("t2", "", "")).1, "one");
    daemon.reload(&platform_config(&[one], Some(new)).to_string());
    assert_eq!(
        observed.recv_timeout(limit),
        Ok(("new", "watched")),
        "another watch was closed or opened before"
    );
    assert_eq!(observed.recv_timeout(limit), Ok(("old", "left")));
    common::wait_for(limit, "the list of the new discovery was not applied", || {
        (send_request(&daemon, &job_request("t3", "", "")).1 == "two").then_some(())
    });
}

/// A client pipelines more than the daemon buffers, and disconnects with a reset or an orderly close. Its attempt is cancelled
/// before it times out.
#[test]
fn a_client_that_pipelines_too_much_and_disconnects_has_its_attempt_cancelled() {
    for (pieces, reset) in [(1_000, true), (4, false)] {
        let (events, observed) = std::sync::mpsc::channel();
        let waits = start_worker(move |connection, _| {
            events.send("begun").expect("a listener");
            assert!(connection.read_line().is_empty());
            events.send("abandoned").expect("a listener");
        });
        let daemon = RunningDaemon::start(Some(platform_config(&[waits], None)), None);
        let mut flood =
            std::net::TcpStream::connect(daemon.address(ListenerKind::Platform)).expect("a listener");
        flood.set_write_timeout(Some(Duration::from_millis(300))).expect("a valid time-out");
        flood.write_all(job_request("t", "", "").as_bytes()).expect("room");
        assert_eq!(observed.recv_timeout(Duration::from_secs(1)), Ok("begun"));
        let sent = (0..pieces).take_while(|_| flood.write_all(&[b'x'; 64 * 1024]).is_ok()).count();
        assert!(!reset || sent < pieces, "the daemon buffered all pipelined data");
        if reset {
            socket2::SockRef::from(&flood).set_linger(Some(Duration::ZERO)).expect("a socket");
        }
        drop(flood);
        let observed = observed.recv_timeout(Duration::from_secs(1));
        assert_eq!(
            observed,
            Ok("abandoned"),
            "the attempt was not abandoned before its time-out, reset: {reset}"
        );
    }
}

#[test]
fn load_balancer_checks_report_the_current_state() {
    let operator = json!({"agent_check": {"listen": "127.0.0.1:0"}, "health": {"listen": "127.0.0.1:0"}});
    let mut daemon =
        RunningDaemon::start(Some(platform_config(&[start_worker(serve_job)], None)), Some(operator.clone()));
    let agent = |daemon: &RunningDaemon| daemon.connect(ListenerKind::AgentCheck).read_line();
    let health = |daemon: &RunningDaemon, path: &str| {
        let mut connection = daemon.connect(ListenerKind::Health);
        connection.send(&format!("GET {path} HTTP/1.0\r\n\r\n"));
        connection.read_message().0[0][9..12].to_owned()
    };
    assert!(agent(&daemon).starts_with("up ready "));
    assert_eq!((health(&daemon, "/health"), health(&daemon, "/ready")), ("200".to_owned(), "200".to_owned()));
    daemon.stop();
    common::wait_for(Duration::from_millis(400), "the agent check did not report the drain", || {
        (agent(&daemon) == "drain").then_some(())
    });
    assert_eq!(health(&daemon, "/ready"), "503");
    let empty = RunningDaemon::start(Some(platform_config(&[], None)), Some(operator));
    assert_eq!(agent(&empty), "maint");
    assert_eq!(health(&empty, "/ready"), "503");
}

#[test]
fn more_clients_than_descriptors_are_served() {
    let daemon = RunningDaemon::start(Some(platform_config(&[start_worker(serve_job)], None)), None);
    // The limit of 256 descriptors leaves 140 for clients. Idle clients are closed for new ones.
    let mut held: Vec<Connection> = Vec::new();
    for i in 0..200 {
        let mut connection = daemon.connect(ListenerKind::Platform);
        connection.send(&job_request(&format!("t{i}"), "", ""));
        assert_eq!(connection.read_message().1, "text");
        held.push(connection);
    }
}

#[test]
fn a_configuration_error_is_one_line_naming_key_and_file() {
    let binary = env!("CARGO_BIN_EXE_pebblepost");
    let mut bad = platform_config(&[], None);
    for (pointer, value, key) in [
        ("/listen", json!("nowhere"), "listen"),
        ("/seed", json!("xyz"), "seed"),
        ("/limits/sockets", json!(-1), "limits.sockets"),
        ("/settings/classes/0/deadline", json!("soon"), "classes.0.deadline"),
    ] {
        let good = std::mem::replace(bad.pointer_mut(pointer).expect("a key"), value);
        let path = common::temp_path("bad.json");
        std::fs::File::create(&path).and_then(|mut f| write!(f, "{bad}")).expect("a writable directory");
        let run = std::process::Command::new(binary)
            .env("PROXY_CONFIG", &path)
            .output()
            .expect("the program starts");
        let _ = std::fs::remove_file(&path);
        let errors = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(!run.status.success());
        assert_eq!(errors.lines().count(), 1, "{errors}");
        assert!(errors.contains(key) && errors.contains("bad.json"), "{errors}");
        *bad.pointer_mut(pointer).expect("a key") = good;
    }
}

#[test]
fn the_program_reloads_at_sighup_and_exits_cleanly_at_sigterm() {
    let path = common::temp_path("config.json");
    std::fs::write(&path, platform_config(&[start_worker(serve_job)], None).to_string())
        .expect("a writable directory");
    let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_pebblepost"));
    let started = program.env("PROXY_CONFIG", &path).stderr(std::process::Stdio::piped()).spawn();
    let mut child = started.expect("the program starts");
    let mut log = std::io::BufRead::lines(std::io::BufReader::new(child.stderr.take().expect("piped")));
    assert_eq!(log.next().and_then(Result::ok).as_deref(), Some("pebblepost: ready"));
    let kill = |signal: &str| {
        let expected = format!("kill -{signal} {}", child.id());
        let run = std::process::Command::new("sh").args(["-c", &expected]).status();
        assert!(run.is_ok_and(|status| status.success()));
    };
    kill("HUP");
    let line = log.next().and_then(Result::ok).expect("a log line, not the end of the log");
    assert!(line.contains("SIGHUP"), "{line}");
    kill("TERM");
    kill("HUP");
    assert!(child.wait().expect("a child").success());
    let _ = std::fs::remove_file(path);
}

#[test]
fn the_shipped_configuration_files_are_valid() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).expect("a workspace");
    let example = root.join("examples/config.json");
    let var = |name: &str| (name == "PROXY_CONFIG").then(|| example.to_str().map(str::to_owned))?;
    let both = pebblepost::config::read(var, Some(&root.join("examples/operator.json")))
        .expect("a valid configuration");
    assert!(
        both.faktory.is_some() && both.listen.is_some() && both.fleet.is_some_and(|f| f.control.is_some())
    );
    let alone = pebblepost::config::read(|_| None, Some(&root.join("deploy/operator.json")))
        .expect("a valid configuration");
    assert!(alone.faktory.is_some() && alone.listen.is_none());
    let fleet =
        pebblepost::config::read(var, Some(&root.join("deploy/fleet.json"))).expect("a valid configuration");
    assert_eq!(fleet.fleet.map(|f| f.replicas.len()), Some(3));
    for n in 1..=3 {
        let keeper = pebblepost::store_replica::read_config(&root.join(format!("deploy/keeper-{n}.json")))
            .expect("a valid configuration");
        assert_eq!((keeper.id, keeper.group.as_str()), (n, "kumamoto-main"));
    }
}

#[test]
fn an_error_in_the_room_settings_names_file_and_key() {
    let config = common::temp_path("config.json");
    std::fs::write(&config, platform_config(&[], None).to_string()).expect("a writable directory");
    let operator = common::temp_path("operator.json");
    let error = |settings: Value| {
        std::fs::write(&operator, json!({ "settings": settings }).to_string()).expect("a writable directory");
        let var = |name: &str| (name == "PROXY_CONFIG").then(|| config.display().to_string());
        pebblepost::config::read(var, Some(&operator)).map(|_| ()).map_err(|error| error.to_string())
    };
    assert_eq!(error(json!({"room": {"enabled": false, "mostHeld": 0.5}})), Ok(()));
    for (settings, expected) in [
        (json!({"room": {"mostheld": 0.5}}), "settings.room.mostheld"),
        (json!({"room": true}), "settings.room"),
        (json!({"room": {"mostHeld": 0.9}}), "room.mostHeld is 0.9: 0 to 0.5 is allowed"),
        (json!({"room": {"deviations": -1}}), "room.deviations"),
        (json!({"room": {"enabled": "perhaps"}}), "room.enabled=perhaps"),
    ] {
        let text = error(settings).expect_err(expected);
        assert!(text.contains(expected) && text.contains("operator.json"), "{text}");
    }
    [config, operator].iter().for_each(|f| drop(std::fs::remove_file(f)));
}

/// Regression: the tenant was not read, and all requests counted as requests of the first tenant.
#[test]
fn a_tenant_is_resolved_by_its_name() {
    let names = ["office".to_owned(), "studio".to_owned()];
    let known = [Some("studio"), Some("nobody"), None].map(|named| tenant_id(&names, named).0);
    assert_eq!((known, tenant_id(&[], Some("x")).0), ([1, 0, 0], 0));
}

/// Regression: a request that a worker rejected as invalid was retried at six workers and counted as a failure of each, so
/// that a hundred invalid requests had all workers ejected.
#[test]
fn a_request_rejected_as_invalid_fails_without_retry_or_outlier_ejection() {
    let asked = Arc::new(AtomicU32::new(0));
    let named = |name: &'static str| {
        let count = asked.clone();
        start_worker(move |connection, head| {
            let id = header(head, "x-txn").expect("an X-Txn header");
            if let Some(code) = id.strip_prefix("bad-") {
                count.fetch_add(1, Ordering::Relaxed);
                return connection.send(&format!("HTTP/1.1 {code} No\r\nContent-Length: 0\r\n\r\n"));
            }
            send_lines(connection, &[json!({"id": id, "state": "done", "result": name})]);
        })
    };
    let mut config = platform_config(&[named("one"), named("two")], None);
    config["settings"]["invariants"]["fall"] = json!(5e9); // The duration of an outlier ejection.
    let daemon = RunningDaemon::start(Some(config), None);
    let answer = |id: &str| {
        let mut connection = daemon.connect(ListenerKind::Platform);
        connection.send(&job_request(id, "Cookie: k=77\r\n", "")); // Jobs of one key go to one worker.
        let (head, body) = connection.read_message();
        (head.first().cloned().unwrap_or_default(), body)
    };
    let first = answer("good").1;
    for (n, code) in [400, 404, 422].into_iter().enumerate() {
        let (status, _) = answer(&format!("bad-{code}"));
        assert!(status.contains(" 502 "), "{status}");
        assert_eq!(asked.load(Ordering::Relaxed), n as u32 + 1, "one attempt for {code}");
        assert_eq!(answer("good").1, first);
    }
    answer("bad-429");
    assert!(
        asked.load(Ordering::Relaxed) > 3 + 1,
        "429 is transient, and the class may be retried: it must be"
    );
}
