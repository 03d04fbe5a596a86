//! Replicas of the fleet store and dispatchers on one machine: what is agreed comes into force, a drain requested at a
//! dispatcher without a connection is in force there, and requests are served without any replica.

mod common;

use common::replicas::{LIMIT, Replicas};
use common::{RunningDaemon, Wire, header, lines, platform, post, within, worker};
use pebblepost::net::ListenerKind;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

fn dispatcher(name: &str, workers: &[SocketAddr], fleet: Value) -> RunningDaemon {
    let mut config = platform(workers, None);
    config["name"] = json!(name);
    RunningDaemon::start(Some(config), Some(json!({"health": {"listen": "127.0.0.1:0"}, "fleet": fleet})))
}

fn serves(node: &RunningDaemon) -> bool {
    let mut wire = node.connect(ListenerKind::Platform);
    wire.send(&post("t", "", ""));
    wire.message().1 == "text"
}

fn good() -> SocketAddr {
    worker(|wire, head| {
        let id = header(head, "x-txn");
        lines(wire, &[json!({"id": id, "state": "done", "result": "text"})]);
    })
}

fn here(node: &RunningDaemon, line: Value) -> Value {
    let mut wire = Wire::new(TcpStream::connect(node.control.expect("set")).expect("a listener"));
    wire.send(&format!("{line}\n"));
    serde_json::from_str(&wire.line()).expect("JSON")
}

fn health(node: &RunningDaemon) -> String {
    let mut wire = node.connect(ListenerKind::Health);
    wire.send("GET /health HTTP/1.1\r\nHost: h\r\n\r\n");
    wire.message().1
}

#[test]
fn what_is_agreed_reaches_every_dispatcher_and_none_needs_a_keeper_to_serve() {
    let (mut replicas, one) = (Replicas::start(1), good());
    let copy = common::path("copy");
    let with = |copy: Option<&PathBuf>| json!({"keepers": replicas.addresses_json(), "control": "127.0.0.1:0", "copy": copy});
    let (fleet_a, fleet_b) = (with(None), with(Some(&copy)));
    let (first, second) = (dispatcher("a", &[one], fleet_a), dispatcher("b", &[one], fleet_b.clone()));
    assert!(serves(&first) && serves(&second));
    // s-0 is the only worker: drained, nothing is served.
    replicas.fleet_until(&["drain", "s-0", "--why", "a test"]);
    within(LIMIT, "the drain at both", || (!serves(&first) && !serves(&second)).then_some(()));
    within(LIMIT, "both are members", || {
        let members = replicas.fleet_until(&["members"]);
        (members.matches("here life 1").count() == 2).then_some(())
    });
    // The leader crashes: what was agreed stays, and the others agree on the next change.
    let (leader, _) = replicas.leader_and_revisions();
    replicas.kill(leader);
    replicas.fleet_until(&["undrain", "s-0"]);
    within(LIMIT, "the mark is taken back at both", || (serves(&first) && serves(&second)).then_some(()));
    // All replicas crash: requests are served, and the health check says how old the agreed state is.
    (0..3).for_each(|n| replicas.kill(n));
    assert!(serves(&first) && serves(&second));
    let status = health(&first);
    assert!(status.starts_with("fleet: revision ") && status.contains("confirmed "), "{status}");
    // A drain requested at a dispatcher without a connection is in force there at once, also over its restart, and nowhere else.
    assert_eq!(here(&second, json!({"drain": "s-0", "why": "smoke"})), json!({"ok": true}));
    within(Duration::from_millis(400), "the drain here", || (!serves(&second)).then_some(()));
    assert!(serves(&first));
    within(LIMIT, "kept", || {
        std::fs::read_to_string(&copy).is_ok_and(|text| text.contains("smoke")).then_some(())
    });
    drop(second);
    let second = dispatcher("b", &[one], fleet_b);
    assert!(!serves(&second), "not forgotten over a restart without any keeper");
    // The group is back: the drain is proposed and agreed.
    (0..3).for_each(|n| replicas.run(n));
    within(LIMIT, "the drain at the other", || (!serves(&first)).then_some(()));
    let history = replicas.fleet_until(&["history"]);
    assert!(history.contains("drain/s-0 = by operator here") && history.contains("smoke"), "{history}");
    assert_eq!(
        here(&second, json!({"undrain": "s-0"}))["error"].as_str().map(|error| error.contains("agreed")),
        Some(true)
    );
    replicas.fleet_until(&["undrain", "s-0"]);
    within(LIMIT, "served again by both", || (serves(&first) && serves(&second)).then_some(()));
    drop((first, second));
    let _ = std::fs::remove_file(copy);
}

#[test]
fn a_keeper_that_lost_its_disk_is_not_believed_and_comes_back_under_a_new_number() {
    let mut replicas = Replicas::start(2);
    replicas.fleet_until(&["drain", "w-1"]);
    replicas.kill(1);
    std::fs::remove_dir_all(replicas.folder.join("1")).expect("its disk");
    replicas.run(1);
    replicas.fleet_until(&["drain", "w-2"]);
    // It listens, but the group does not let it take part: it has none of the agreed state.
    let status = within(LIMIT, "it answers", || {
        let all = replicas.fleet_until(&["status", "--json"]);
        let lines: Vec<Value> = all.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        lines.into_iter().find(|status| status["id"] == 2 && status.get("error").is_none())
    });
    assert_eq!((&status["begun"], &status["revision"]), (&json!(false), &json!(0)));
    let again = replicas.fleet(&["begin"]);
    assert_eq!(again.status.code(), Some(1), "a group that runs is not begun again");
    let add = replicas.fleet(&["add", "2", &replicas.at[1].to_string()]);
    // The agreed state rejects the number.
    assert_eq!(add.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&add.stderr).contains("a new disk takes a new number"));
    // Under a new number, with an empty folder, it catches up.
    replicas.kill(1);
    let config = replicas.folder.join("new.json");
    let json =
        json!({"group": "g", "id": 4, "listen": replicas.at[1], "folder": replicas.folder.join("new")});
    std::fs::write(&config, json.to_string()).expect("a writable folder");
    let mut keep = Command::new(env!("CARGO_BIN_EXE_pebblepost"));
    replicas.running[1] =
        Some(keep.arg("keep").arg(config).stderr(Stdio::null()).spawn().expect("it starts"));
    replicas.fleet_until(&["add", "4", &replicas.at[1].to_string()]);
    replicas.fleet_until(&["remove", "2"]);
    within(LIMIT, "it has all of it", || {
        let at = format!("4={}", replicas.at[1]);
        let mut fleet = Command::new(env!("CARGO_BIN_EXE_pebblepost"));
        let out = fleet.args(["fleet", "--keepers", &at, "--json", "status"]).output().expect("it starts");
        let status: Value = serde_json::from_slice(&out.stdout).ok()?;
        (status["revision"] == 2 && status["voters"] == json!([1, 3, 4])).then_some(())
    });
}

#[test]
fn a_keeper_on_an_older_copy_of_its_disk_is_refused_by_name_and_the_others_go_on() {
    let mut replicas = Replicas::start(4);
    replicas.fleet_until(&["drain", "w-1"]);
    let follower = (replicas.leader_and_revisions().0 + 1) % 3;
    replicas.kill(follower);
    let disk = replicas.folder.join(follower.to_string()).join("keeper.redb");
    let older = std::fs::read(&disk).expect("its disk");
    replicas.run(follower);
    replicas.fleet_until(&["drain", "w-2"]);
    within(LIMIT, "it has caught up", || (replicas.leader_and_revisions().1[follower] == 2).then_some(()));
    replicas.kill(follower);
    std::fs::write(&disk, older).expect("a writable folder");
    let said = replicas.refuses(follower);
    assert!(said.contains("keeper.redb: an older copy"), "{said}");
    replicas.fleet_until(&["drain", "w-3"]);
}

#[test]
fn a_mistake_in_a_keepers_file_or_disk_is_one_line_that_names_it() {
    let folder = common::path("bad-keeper");
    std::fs::create_dir_all(folder.join("disk")).expect("a writable folder");
    let config = folder.join("keeper.json");
    let run = |json: Value| {
        std::fs::write(&config, json.to_string()).expect("a writable folder");
        let mut keep = Command::new(env!("CARGO_BIN_EXE_pebblepost"));
        let out = keep.arg("keep").arg(&config).env("RUST_LOG", "off").output().expect("it starts");
        assert!(!out.status.success());
        String::from_utf8_lossy(&out.stderr).into_owned()
    };
    let sound = json!({"group": "g", "id": 1, "listen": "127.0.0.1:1", "folder": folder.join("disk")});
    let with = |key: &str, value: Value| {
        let mut json = sound.clone();
        json[key] = value;
        json
    };
    for (json, words) in [
        (with("listen", json!("10.0.0.1:7501")), "listen: listen and dial must be loopback addresses"),
        (with("listen", json!("127.0.0.1:0")), "listen: a port is missing"),
        (with("session_s", json!(0.1)), "session_s: must be 0.5 to 600 seconds"),
        (with("colour", json!(1)), "unknown field `colour`"),
        (json!({"group": "g"}), "missing field `id`"),
    ] {
        let said = run(json);
        assert!(said.contains("keeper.json") && said.contains(words) && said.lines().count() == 1, "{said}");
    }
    std::fs::write(folder.join("disk").join("keeper.redb"), "not what was written")
        .expect("a writable folder");
    let listener = TcpListener::bind("127.78.9.1:0").expect("a free port");
    let at = listener.local_addr().expect("bound");
    assert!(run(with("listen", json!(at))).contains("cannot listen on"));
    drop(listener);
    let said = run(with("listen", json!(at)));
    assert!(said.contains("keeper.redb: damaged") && said.contains("docs/operate/store.md"), "{said}");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn the_file_of_the_old_store_is_taken_over_and_a_torn_one_is_refused() {
    use sha2::{Digest, Sha256};
    let replicas = Replicas::start(3);
    let file = common::path("old-store");
    let body = json!({"node": "a", "registers": {
        "drain/s-1": [true, 3, "a"], "drain/s-2": [null, 4, "a"], "setting/faktory.heartbeat_s": [5, 1, "a"],
    }})
    .to_string();
    let sum: String = Sha256::digest(body.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect();
    let shown = file.display().to_string();
    std::fs::write(&file, format!("{sum}\n{}\n", &body[1..])).expect("a writable folder");
    let torn = replicas.fleet(&["import", &shown]);
    assert_eq!(torn.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&torn.stderr).contains("checksum does not match"));
    std::fs::write(&file, format!("{sum}\n{body}\n")).expect("a writable folder");
    replicas.fleet_until(&["import", &shown]);
    let state = replicas.fleet_until(&["show"]);
    assert!(
        state.contains("drain/s-1\tby tester") && state.contains("setting/faktory.heartbeat_s\t5"),
        "{state}"
    );
    assert!(!state.contains("s-2") && state.contains("taken over from"), "{state}");
    // A backup, its restoration after a change, and its restoration in a group that has lost everything.
    let backup = common::path("backup");
    let named = backup.display().to_string();
    replicas.fleet_until(&["backup", &named]);
    assert_eq!(replicas.fleet(&["backup", &named]).status.code(), Some(1), "none is written over");
    replicas.fleet_until(&["undrain", "s-1"]);
    let other = Replicas::start(5);
    for group in [&replicas, &other] {
        group.fleet_until(&["restore", &named]);
        assert!(group.fleet_until(&["show"]).contains("drain/s-1\tby tester"));
    }
    std::fs::write(&backup, "0\n{}\n").expect("a writable folder");
    assert_eq!(other.fleet(&["restore", &named]).status.code(), Some(2));
    let _ = (std::fs::remove_file(file), std::fs::remove_file(backup));
}
