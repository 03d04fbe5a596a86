//! The platform's front and the connections to workers, against stand-ins.

mod common;

use common::{RunningDaemon, Wire, header, lines, platform, post, worker};
use pebblepost::front::platform::tenant_id;
use pebblepost::net::ListenerKind;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

fn serves(wire: &mut Wire, head: &[String]) {
    let id = header(head, "x-txn").expect("an id");
    lines(
        wire,
        &[json!({"id": id, "state": "started"}), json!({"id": id, "state": "done", "result": "text"})],
    );
}

fn ask(daemon: &RunningDaemon, request: &str) -> (Vec<String>, String) {
    let mut wire = daemon.connect(ListenerKind::Platform);
    wire.send(request);
    wire.message()
}

#[test]
fn a_job_passes_on_unchanged_and_connections_are_kept() {
    let heads = Arc::new(std::sync::Mutex::new(Vec::new()));
    let seen = heads.clone();
    let good = worker(move |wire, head| {
        seen.lock().expect("no panic").push(head.to_vec());
        serves(wire, head);
    });
    let daemon = RunningDaemon::start(Some(platform(&[good], None)), None);
    let mut wire = daemon.connect(ListenerKind::Platform);
    wire.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(wire.message().0[0], "HTTP/1.1 200 OK");
    // Three pipelined requests, one in chunks: each waits for the one before.
    let chunked = post("t3", "", "")
        .replace("Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    wire.send(&format!("{}{}{chunked}", post("t1", "", "one"), post("t2", "", "two")));
    for _ in 0..3 {
        let (head, body) = wire.message();
        assert_eq!((head[0].as_str(), body.as_str()), ("HTTP/1.1 200 OK", "text"));
    }
    let heads = heads.lock().expect("no panic");
    let ids: Vec<_> = heads.iter().map(|head| header(head, "x-txn").expect("an id")).collect();
    assert_eq!(ids, ["t1", "t2", "t3"]);
    for head in heads.iter() {
        assert_eq!(head[0], "POST /api?x=1 HTTP/1.1");
        assert!(header(head, "idempotency-key").is_some_and(|key| key.starts_with("kt")));
        let left: u64 = header(head, "x-remaining-ms").and_then(|n| n.parse().ok()).expect("a time");
        assert!((1_000..=2_000).contains(&left));
    }
}

#[test]
fn bad_input_gets_its_status() {
    let good = worker(serves);
    let daemon = RunningDaemon::start(Some(platform(&[good], None)), None);
    let job = post("t", "", "");
    let cases = [
        (job.replace("POST", "GET"), 405, false),
        (job.replace("/api", "/other"), 404, false),
        (job.replace("X-Lane: render", "X-Lane: unheard"), 400, false),
        (job.replace("X-Txn: t\r\n", ""), 400, false),
        (job.replace("X-Remaining-Ms: 2000", "X-Remaining-Ms: soon"), 400, false),
        (post("t", "X-Estimate: -1\r\n", ""), 400, false),
        (post("t", "X-Labels: slots=many\r\n", ""), 400, false),
        (post("t", "Transfer-Encoding: chunked\r\n", ""), 400, true),
        (post("t", "Content-Length: 3\r\n", ""), 400, true),
        (job.replace("Content-Length: 0", "Content-Length: 65537"), 413, true),
        (job.replace("Content-Length: 0", "Content-Length: +1"), 400, true),
        ("nonsense\r\n\r\n".to_owned(), 400, true),
        (post("t", &format!("X-Long: {}\r\n", "x".repeat(20_000)), ""), 431, true),
        (job.replace("Content-Length: 0", "Transfer-Encoding: gzip"), 501, true),
    ];
    for (request, status, closes) in cases {
        let mut wire = daemon.connect(ListenerKind::Platform);
        wire.send(&request);
        let (head, _) = wire.message();
        assert!(
            head[0].starts_with(&format!("HTTP/1.1 {status} ")),
            "{head:?} for {}",
            &request[..request.len().min(300)]
        );
        if closes {
            assert!(wire.ends());
        } else {
            wire.send(&post("t", "", ""));
            assert_eq!(wire.message().1, "text", "the connection goes on after {status}");
        }
    }
}

#[test]
fn silent_and_endless_clients_are_let_go_and_kept_ones_stay() {
    let daemon = RunningDaemon::start(Some(platform(&[worker(serves)], None)), None);
    let mut kept = daemon.connect(ListenerKind::Platform);
    kept.send(&post("t1", "", ""));
    assert_eq!(kept.message().1, "text");
    let (start, mut silent, mut endless) =
        (Instant::now(), daemon.connect(ListenerKind::Platform), daemon.connect(ListenerKind::Platform));
    endless.send("POST /api HTTP/1.1\r\n");
    for n in 0..4 {
        std::thread::sleep(Duration::from_millis(500));
        endless.send(&format!("X-{n}: more\r\n"));
    }
    assert!(endless.line().starts_with("HTTP/1.1 408 "));
    assert!(silent.ends() && start.elapsed() < Duration::from_secs(3));
    kept.send(&post("t2", "", ""));
    assert_eq!(kept.message().1, "text");
}

#[test]
fn nobody_to_serve_is_a_refusal_at_once_with_when_to_come_back() {
    // A closed port: the connection is refused, so nothing can have run.
    let closed =
        TcpListener::bind("127.78.1.2:0").and_then(|listener| listener.local_addr()).expect("a free port");
    let daemon = RunningDaemon::start(Some(platform(&[closed], None)), None);
    let start = Instant::now();
    let (head, _) = ask(&daemon, &post("t", "", ""));
    assert_eq!(head[0], "HTTP/1.1 503 Service Unavailable");
    let after: f64 = header(&head, "retry-after").and_then(|n| n.parse().ok()).expect("seconds");
    assert!(after > 0.0);
    assert!(start.elapsed() < Duration::from_millis(1_500), "not held back until the client's time is up");
}

/// How many attempts a worker gets, and what the client gets, if each attempt goes so.
fn attempts(job: impl Fn(&mut Wire, &[String]) + Send + Sync + Clone + 'static) -> (u32, String) {
    let count = Arc::new(AtomicU32::new(0));
    let seen = count.clone();
    let counted = worker(move |wire, head| {
        seen.fetch_add(1, Ordering::SeqCst);
        job(wire, head);
    });
    let daemon = RunningDaemon::start(Some(platform(&[counted], None)), None);
    let (head, _) = ask(&daemon, &post("t", "", ""));
    (count.load(Ordering::SeqCst), head[0].clone())
}

#[test]
fn whatever_a_worker_does_ends_that_attempt_only() {
    let sends_line =
        |line: Value| move |wire: &mut Wire, _: &[String]| lines(wire, std::slice::from_ref(&line));
    for (what, (seen, status)) in [
        ("failed", attempts(sends_line(json!({"id": "t", "state": "failed"})))),
        ("lost", attempts(sends_line(json!({"id": "t", "state": "lost"})))),
        ("returned", attempts(sends_line(json!({"id": "t", "state": "returned"})))),
        ("an unknown state", attempts(sends_line(json!({"id": "t", "state": "dreaming"})))),
        ("done with no result", attempts(sends_line(json!({"id": "t", "state": "done"})))),
        ("another one's line", attempts(sends_line(json!({"id": "u", "state": "done", "result": "text"})))),
        ("no id", attempts(sends_line(json!({"state": "done", "result": "text"})))),
        ("an endless head", attempts(|wire, _| while wire.try_send("X-More: of it\r\n") {})),
        (
            "an endless line",
            attempts(|wire, _| {
                wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                while wire.try_send(&format!("1000\r\n{}\r\n", "x".repeat(0x1000))) {}
            }),
        ),
        (
            "endless empty lines",
            attempts(|wire, _| {
                wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                while wire.try_send("1\r\n\n\r\n") {
                    std::thread::sleep(Duration::from_millis(1));
                }
            }),
        ),
        (
            "a wrong chunk",
            attempts(|wire, _| wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno\r\n")),
        ),
        ("500", attempts(|wire, _| wire.send("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"))),
        ("garbage", attempts(|wire, _| wire.send("\u{1}\u{2}garbage\r\n\r\n"))),
        (
            "an end with no last line",
            attempts(|wire, _| wire.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
        ),
        (
            "turned away",
            attempts(|wire, _| {
                wire.send("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            }),
        ),
    ] {
        assert!((1..=3).contains(&seen), "{what}: {seen} attempts");
        assert_eq!(status, "HTTP/1.1 503 Service Unavailable", "{what}");
    }
}

#[test]
fn jobs_about_one_thing_go_to_one_worker_whatever_the_order_of_the_list() {
    let workers = ["w0", "w1", "w2", "w3"]
        .map(|name| worker(move |wire, _| lines(wire, &[json!({"state": "done", "result": name})])));
    let served_by = |turn: usize| {
        let mut config = platform(&workers, None);
        let hosts = config.pointer_mut("/known/hosts").and_then(Value::as_array_mut).expect("a list");
        hosts.rotate_left(turn);
        let daemon = RunningDaemon::start(Some(config), None);
        let about = |key: u32| ask(&daemon, &post("t", &format!("Cookie: a=b; k={key}\r\n"), "")).1;
        (0..12).map(|half| about(half / 2)).collect::<Vec<_>>()
    };
    let (one, other) = (served_by(0), served_by(2));
    assert_eq!(one, other);
    assert!(one.chunks(2).all(|pair| pair[0] == pair[1]), "{one:?}");
}

#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let (events, observed) = std::sync::mpsc::channel();
    let waits = worker(move |wire, _| {
        events.send("has it").expect("a listener");
        assert!(wire.line().is_empty());
        events.send("was closed").expect("a listener");
    });
    let daemon = RunningDaemon::start(Some(platform(&[waits], None)), None);
    let mut wire = daemon.connect(ListenerKind::Platform);
    wire.send(&post("t", "", ""));
    let limit = Duration::from_secs(5);
    assert_eq!(observed.recv_timeout(limit), Ok("has it"));
    wire.close();
    assert_eq!(observed.recv_timeout(limit), Ok("was closed"));
}

#[test]
fn a_stop_serves_a_while_longer_then_finishes_what_was_taken() {
    let slow = worker(|wire, head| {
        std::thread::sleep(Duration::from_millis(900));
        serves(wire, head);
    });
    let mut daemon = RunningDaemon::start(Some(platform(&[slow], None)), None);
    let mut idle = daemon.connect(ListenerKind::Platform);
    idle.send("GET /ready HTTP/1.1\r\n\r\n");
    assert_eq!(idle.message().0[0], "HTTP/1.1 200 OK");
    daemon.stop();
    common::within(Duration::from_millis(400), "not ready after the signal", || {
        idle.send("GET /ready HTTP/1.1\r\n\r\n");
        idle.message().0[0].starts_with("HTTP/1.1 503").then_some(())
    });
    let mut late = daemon.connect(ListenerKind::Platform);
    late.send(&post("t", "", ""));
    let (head, body) = late.message();
    assert_eq!((head[0].as_str(), body.as_str()), ("HTTP/1.1 200 OK", "text"));
    assert_eq!(header(&head, "connection").as_deref(), Some("close"));
    assert!(idle.ends() && late.ends());
    daemon.wait();
}

/// A discovery that answers each call with what `say` writes.
fn discovery(say: impl Fn(&mut Wire, u32) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let mut wire = Wire::new(stream);
            wire.message();
            say(&mut wire, n as u32);
        }
    });
    address
}

#[test]
fn a_watch_tells_of_drains_and_garbage_ends_only_the_watch() {
    let (old, new) =
        (worker(|wire, _| wire.send("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")), worker(serves));
    let list = discovery(move |wire, n| {
        let chunk = |wire: &mut Wire, text: &str| wire.send(&format!("{:x}\r\n{text}\r\n", text.len()));
        wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        if n == 0 {
            return chunk(wire, "{\"seq\":\"garbage\"}\n");
        }
        let host = |host, dial: SocketAddr, health| json!({"host": host, "dial": dial, "site": "b", "class": "m", "block": 1, "health": health, "born_ms": 0});
        let hosts = [host("s-0", old, "draining"), host("s-new", new, "ready")];
        chunk(wire, &format!("{}\n", json!({"seq": 2, "whole": false, "hosts": hosts})));
        std::thread::sleep(Duration::from_secs(20));
    });
    let daemon = RunningDaemon::start(Some(platform(&[old], Some(list))), None);
    common::within(Duration::from_secs(10), "the new worker serves", || {
        (ask(&daemon, &post("t", "", "")).1 == "text").then_some(())
    });
    for _ in 0..10 {
        assert_eq!(ask(&daemon, &post("t", "", "")).1, "text", "nothing goes to the drained one");
    }
}

#[test]
fn a_watch_that_falls_silent_is_taken_up_again() {
    let (events, observed) = std::sync::mpsc::channel();
    let silent = discovery(move |wire, n| {
        wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        events.send((n, Instant::now())).expect("a listener");
        // The daemon's watch times out; nothing on the wire ends it.
        assert!(wire.line().is_empty());
    });
    let _daemon = RunningDaemon::start(Some(platform(&[worker(serves)], Some(silent))), None);
    let (limit, (_, first)) = (Duration::from_secs(8), observed.recv().expect("a watch"));
    let (n, second) = observed.recv_timeout(limit).expect("another watch");
    assert_eq!(n, 1);
    let after = second - first;
    assert!((Duration::from_millis(2_500)..Duration::from_secs(6)).contains(&after), "{after:?}");
}

#[test]
fn a_new_configuration_moves_the_watch_and_a_bad_one_changes_nothing() {
    let (events, observed) = std::sync::mpsc::channel();
    let watched = |name: &'static str, worker: SocketAddr| {
        let events = events.clone();
        discovery(move |wire, _| {
            let host = json!({"host": name, "dial": worker, "site": "a", "class": "m", "block": 0, "health": "ready", "born_ms": 0});
            let line = format!("{}\n", json!({"seq": 7, "whole": true, "hosts": [host]}));
            // Sent first: what the line sets off must not overtake it.
            events.send((name, "watched")).expect("a listener");
            wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            wire.send(&format!("{:x}\r\n{line}\r\n", line.len()));
            assert!(wire.line().is_empty());
            let _ = events.send((name, "left"));
        })
    };
    let says = |text: &'static str| {
        worker(move |wire, head| {
            let id = header(head, "x-txn").expect("an id");
            lines(wire, &[json!({"id": id, "state": "done", "result": text})]);
        })
    };
    let (one, two) = (says("one"), says("two"));
    let (old, new) = (watched("old", one), watched("new", two));
    let mut daemon = RunningDaemon::start(Some(platform(&[one], Some(old))), None);
    let limit = Duration::from_secs(5);
    assert_eq!(observed.recv_timeout(limit), Ok(("old", "watched")));
    assert_eq!(ask(&daemon, &post("t1", "", "")).1, "one");
    daemon.reload("{ not JSON");
    daemon.reload(&platform(&[one], None).to_string());
    assert_eq!(ask(&daemon, &post("t2", "", "")).1, "one");
    daemon.reload(&platform(&[one], Some(new)).to_string());
    assert_eq!(
        observed.recv_timeout(limit),
        Ok(("new", "watched")),
        "nothing else was left or taken up before"
    );
    assert_eq!(observed.recv_timeout(limit), Ok(("old", "left")));
    common::within(limit, "the word of the new one counts", || {
        (ask(&daemon, &post("t3", "", "")).1 == "two").then_some(())
    });
}

/// A client pipelines more than is buffered and disconnects by a reset or an orderly end.
#[test]
fn a_client_that_sends_far_ahead_and_leaves_costs_nothing() {
    for (pieces, reset) in [(1_000, true), (4, false)] {
        let (events, observed) = std::sync::mpsc::channel();
        let waits = worker(move |wire, _| {
            events.send("begun").expect("a listener");
            assert!(wire.line().is_empty());
            events.send("given up").expect("a listener");
        });
        let daemon = RunningDaemon::start(Some(platform(&[waits], None)), None);
        let mut flood =
            std::net::TcpStream::connect(daemon.address(ListenerKind::Platform)).expect("a listener");
        flood.set_write_timeout(Some(Duration::from_millis(300))).expect("a sound time-out");
        flood.write_all(post("t", "", "").as_bytes()).expect("room");
        assert_eq!(observed.recv_timeout(Duration::from_secs(1)), Ok("begun"));
        let sent = (0..pieces).take_while(|_| flood.write_all(&[b'x'; 64 * 1024]).is_ok()).count();
        assert!(!reset || sent < pieces, "what is sent ahead is bounded");
        if reset {
            socket2::SockRef::from(&flood).set_linger(Some(Duration::ZERO)).expect("a socket");
        }
        drop(flood);
        let observed = observed.recv_timeout(Duration::from_secs(1));
        assert_eq!(observed, Ok("given up"), "before its time-out, reset: {reset}");
    }
}

#[test]
fn load_balancers_get_the_actual_state() {
    let operator = json!({"agent_check": {"listen": "127.0.0.1:0"}, "health": {"listen": "127.0.0.1:0"}});
    let mut daemon = RunningDaemon::start(Some(platform(&[worker(serves)], None)), Some(operator.clone()));
    let agent = |daemon: &RunningDaemon| daemon.connect(ListenerKind::AgentCheck).line();
    let health = |daemon: &RunningDaemon, path: &str| {
        let mut wire = daemon.connect(ListenerKind::Health);
        wire.send(&format!("GET {path} HTTP/1.0\r\n\r\n"));
        wire.message().0[0][9..12].to_owned()
    };
    assert!(agent(&daemon).starts_with("up ready "));
    assert_eq!((health(&daemon, "/health"), health(&daemon, "/ready")), ("200".to_owned(), "200".to_owned()));
    daemon.stop();
    common::within(Duration::from_millis(400), "drains", || (agent(&daemon) == "drain").then_some(()));
    assert_eq!(health(&daemon, "/ready"), "503");
    let empty = RunningDaemon::start(Some(platform(&[], None)), Some(operator));
    assert_eq!(agent(&empty), "maint");
    assert_eq!(health(&empty, "/ready"), "503");
}

#[test]
fn more_clients_than_descriptors_are_served_in_turn() {
    let daemon = RunningDaemon::start(Some(platform(&[worker(serves)], None)), None);
    // The limit of 256 leaves 140 for clients; idle ones are closed for new ones.
    let mut held: Vec<Wire> = Vec::new();
    for i in 0..200 {
        let mut wire = daemon.connect(ListenerKind::Platform);
        wire.send(&post(&format!("t{i}"), "", ""));
        assert_eq!(wire.message().1, "text");
        held.push(wire);
    }
}

#[test]
fn a_bad_configuration_is_one_line_that_names_key_and_file() {
    let binary = env!("CARGO_BIN_EXE_pebblepost");
    let mut bad = platform(&[], None);
    for (pointer, value, key) in [
        ("/listen", json!("nowhere"), "listen"),
        ("/seed", json!("xyz"), "seed"),
        ("/limits/sockets", json!(-1), "limits.sockets"),
        ("/settings/classes/0/deadline", json!("soon"), "classes.0.deadline"),
    ] {
        let good = std::mem::replace(bad.pointer_mut(pointer).expect("a key"), value);
        let path = common::path("bad.json");
        std::fs::File::create(&path).and_then(|mut f| write!(f, "{bad}")).expect("a writable folder");
        let run = std::process::Command::new(binary).env("PROXY_CONFIG", &path).output().expect("it starts");
        let _ = std::fs::remove_file(&path);
        let said = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(!run.status.success());
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.contains(key) && said.contains("bad.json"), "{said}");
        *bad.pointer_mut(pointer).expect("a key") = good;
    }
}

#[test]
fn the_program_survives_sighup_and_ends_well_at_sigterm() {
    let path = common::path("config.json");
    std::fs::write(&path, platform(&[worker(serves)], None).to_string()).expect("a writable folder");
    let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_pebblepost"));
    let started = program.env("PROXY_CONFIG", &path).stderr(std::process::Stdio::piped()).spawn();
    let mut child = started.expect("it starts");
    let mut log = std::io::BufRead::lines(std::io::BufReader::new(child.stderr.take().expect("piped")));
    assert_eq!(log.next().and_then(Result::ok).as_deref(), Some("pebblepost: ready"));
    let kill = |signal: &str| {
        let words = format!("kill -{signal} {}", child.id());
        let run = std::process::Command::new("sh").args(["-c", &words]).status();
        assert!(run.is_ok_and(|status| status.success()));
    };
    kill("HUP");
    let line = log.next().and_then(Result::ok).expect("a line, not the end");
    assert!(line.contains("SIGHUP"), "{line}");
    kill("TERM");
    kill("HUP");
    assert!(child.wait().expect("a child").success());
    let _ = std::fs::remove_file(path);
}

#[test]
fn the_files_that_come_with_the_program_are_sound() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).expect("a workspace");
    let example = root.join("examples/config.json");
    let var = |name: &str| (name == "PROXY_CONFIG").then(|| example.to_str().map(str::to_owned))?;
    let both = pebblepost::config::read(var, Some(&root.join("examples/operator.json"))).expect("sound");
    assert!(
        both.faktory.is_some() && both.listen.is_some() && both.fleet.is_some_and(|f| f.control.is_some())
    );
    let alone = pebblepost::config::read(|_| None, Some(&root.join("deploy/operator.json"))).expect("sound");
    assert!(alone.faktory.is_some() && alone.listen.is_none());
    let fleet = pebblepost::config::read(var, Some(&root.join("deploy/fleet.json"))).expect("sound");
    assert_eq!(fleet.fleet.map(|f| f.replicas.len()), Some(3));
    for n in 1..=3 {
        let keeper = pebblepost::store_replica::read_config(&root.join(format!("deploy/keeper-{n}.json")))
            .expect("sound");
        assert_eq!((keeper.id, keeper.group.as_str()), (n, "kumamoto-main"));
    }
}

#[test]
fn a_mistake_in_the_settings_of_the_room_names_file_and_key() {
    let config = common::path("config.json");
    std::fs::write(&config, platform(&[], None).to_string()).expect("a writable folder");
    let operator = common::path("operator.json");
    let error = |settings: Value| {
        std::fs::write(&operator, json!({ "settings": settings }).to_string()).expect("a writable folder");
        let var = |name: &str| (name == "PROXY_CONFIG").then(|| config.display().to_string());
        pebblepost::config::read(var, Some(&operator)).map(|_| ()).map_err(|error| error.to_string())
    };
    assert_eq!(error(json!({"room": {"enabled": false, "mostHeld": 0.5}})), Ok(()));
    for (settings, words) in [
        (json!({"room": {"mostheld": 0.5}}), "settings.room.mostheld"),
        (json!({"room": true}), "settings.room"),
        (json!({"room": {"mostHeld": 0.9}}), "room.mostHeld is 0.9: 0 to 0.5 is allowed"),
        (json!({"room": {"deviations": -1}}), "room.deviations"),
        (json!({"room": {"enabled": "perhaps"}}), "room.enabled=perhaps"),
    ] {
        let text = error(settings).expect_err(words);
        assert!(text.contains(words) && text.contains("operator.json"), "{text}");
    }
    [config, operator].iter().for_each(|f| drop(std::fs::remove_file(f)));
}

/// Regression: the tenant was not read, and all requests counted as those of the first one.
#[test]
fn a_tenant_is_known_by_its_name() {
    let names = ["office".to_owned(), "studio".to_owned()];
    let known = [Some("studio"), Some("nobody"), None].map(|named| tenant_id(&names, named).0);
    assert_eq!((known, tenant_id(&[], Some("x")).0), ([1, 0, 0], 0));
}

/// Regression: a request that a worker rejected as invalid was retried at six workers and counted as a failure of each, so
/// that a hundred invalid requests had all workers ejected.
#[test]
fn a_request_that_a_worker_rejects_is_failed_at_once_and_nobody_is_blamed() {
    let asked = Arc::new(AtomicU32::new(0));
    let named = |name: &'static str| {
        let count = asked.clone();
        worker(move |wire, head| {
            let id = header(head, "x-txn").expect("an id");
            if let Some(code) = id.strip_prefix("bad-") {
                count.fetch_add(1, Ordering::Relaxed);
                return wire.send(&format!("HTTP/1.1 {code} No\r\nContent-Length: 0\r\n\r\n"));
            }
            lines(wire, &[json!({"id": id, "state": "done", "result": name})]);
        })
    };
    let mut config = platform(&[named("one"), named("two")], None);
    config["settings"]["invariants"]["fall"] = json!(5e9); // How long a worker would be ejected.
    let daemon = RunningDaemon::start(Some(config), None);
    let answer = |id: &str| {
        let mut wire = daemon.connect(ListenerKind::Platform);
        wire.send(&post(id, "Cookie: k=77\r\n", "")); // Jobs of one key go to one worker.
        let (head, body) = wire.message();
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
        "it speaks of the moment: the class may be repeated, and is"
    );
}
