//! Replicas of the fleet store with dispatchers: committed changes take effect at each dispatcher, a drain requested at a
//! dispatcher takes effect there without a connection to the store, and requests are served without any replica.

mod common;

use common::replicas::{LIMIT, Replicas};
use common::{
    Connection, RunningDaemon, header, job_request, platform_config, send_lines, start_worker, wait_for,
};
use pebblepost::net::ListenerKind;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

fn start_dispatcher(name: &str, workers: &[SocketAddr], fleet: Value) -> RunningDaemon {
    let mut config = platform_config(workers, None);
    config["name"] = json!(name);
    RunningDaemon::start(Some(config), Some(json!({"health": {"listen": "127.0.0.1:0"}, "fleet": fleet})))
}

fn is_served(node: &RunningDaemon) -> bool {
    let mut connection = node.connect(ListenerKind::Platform);
    connection.send(&job_request("t", "", ""));
    connection.read_message().1 == "text"
}

fn start_serving_worker() -> SocketAddr {
    start_worker(|connection, head| {
        let id = header(head, "x-txn");
        send_lines(connection, &[json!({"id": id, "state": "done", "result": "text"})]);
    })
}

fn agent_command(node: &RunningDaemon, line: Value) -> Value {
    let mut connection = Connection::new(
        TcpStream::connect(node.control_address.expect("a control listener is configured"))
            .expect("a listener"),
    );
    connection.send(&format!("{line}\n"));
    serde_json::from_str(&connection.read_line()).expect("JSON")
}

fn get_health(node: &RunningDaemon) -> String {
    let mut connection = node.connect(ListenerKind::Health);
    connection.send("GET /health HTTP/1.1\r\nHost: h\r\n\r\n");
    connection.read_message().1
}

#[test]
fn committed_drains_reach_all_dispatchers_which_serve_without_any_replica() {
    let (mut replicas, one) = (Replicas::start(1), start_serving_worker());
    let copy = common::temp_path("copy");
    let fleet_config = |copy: Option<&PathBuf>| json!({"keepers": replicas.addresses_json(), "control": "127.0.0.1:0", "copy": copy});
    let (fleet_a, fleet_b) = (fleet_config(None), fleet_config(Some(&copy)));
    let (first, second) =
        (start_dispatcher("a", &[one], fleet_a), start_dispatcher("b", &[one], fleet_b.clone()));
    assert!(is_served(&first) && is_served(&second));
    // s-0 is the only worker, so while it is drained no request is served.
    replicas.fleet_command_until_success(&["drain", "s-0", "--why", "a test"]);
    wait_for(LIMIT, "the drain did not take effect at both dispatchers", || {
        (!is_served(&first) && !is_served(&second)).then_some(())
    });
    wait_for(LIMIT, "the dispatchers did not both become members", || {
        let members = replicas.fleet_command_until_success(&["members"]);
        (members.matches("here life 1").count() == 2).then_some(())
    });
    // The leader crashes: committed changes remain, and the other replicas commit the next one.
    let (leader, _) = replicas.leader_and_revisions();
    replicas.kill(leader);
    replicas.fleet_command_until_success(&["undrain", "s-0"]);
    wait_for(LIMIT, "the undrain did not take effect at both dispatchers", || {
        (is_served(&first) && is_served(&second)).then_some(())
    });
    // All replicas crash: requests are still served, and the health check reports the age of the committed state.
    (0..3).for_each(|n| replicas.kill(n));
    assert!(is_served(&first) && is_served(&second));
    let status = get_health(&first);
    assert!(status.starts_with("fleet: revision ") && status.contains("confirmed "), "{status}");
    // A drain requested at a dispatcher without a connection to the store takes effect there at once, survives its restart,
    // and takes effect nowhere else.
    assert_eq!(agent_command(&second, json!({"drain": "s-0", "why": "smoke"})), json!({"ok": true}));
    wait_for(Duration::from_millis(400), "the drain did not take effect at its own dispatcher", || {
        (!is_served(&second)).then_some(())
    });
    assert!(is_served(&first));
    wait_for(LIMIT, "the drain was not written to the snapshot", || {
        std::fs::read_to_string(&copy).is_ok_and(|text| text.contains("smoke")).then_some(())
    });
    drop(second);
    let second = start_dispatcher("b", &[one], fleet_b);
    assert!(!is_served(&second), "the drain was lost in a restart without any replica");
    // The group is back: the drain is proposed and committed.
    (0..3).for_each(|n| replicas.start_replica(n));
    wait_for(LIMIT, "the drain did not take effect at the other dispatcher", || {
        (!is_served(&first)).then_some(())
    });
    let history = replicas.fleet_command_until_success(&["history"]);
    assert!(history.contains("drain/s-0 = by operator here") && history.contains("smoke"), "{history}");
    assert_eq!(
        agent_command(&second, json!({"undrain": "s-0"}))["error"]
            .as_str()
            .map(|error| error.contains("agreed")),
        Some(true)
    );
    replicas.fleet_command_until_success(&["undrain", "s-0"]);
    wait_for(LIMIT, "the dispatchers did not both serve again", || {
        (is_served(&first) && is_served(&second)).then_some(())
    });
    drop((first, second));
    let _ = std::fs::remove_file(copy);
}

#[test]
fn a_replica_that_lost_its_disk_has_no_vote_until_added_under_a_new_id() {
    let mut replicas = Replicas::start(2);
    replicas.fleet_command_until_success(&["drain", "w-1"]);
    replicas.kill(1);
    std::fs::remove_dir_all(replicas.folder.join("1")).expect("the replica has a disk");
    replicas.start_replica(1);
    replicas.fleet_command_until_success(&["drain", "w-2"]);
    // The replica listens, but has none of the committed state, and the group does not let it vote.
    let status = wait_for(LIMIT, "the replica without its disk did not respond", || {
        let all = replicas.fleet_command_until_success(&["status", "--json"]);
        let lines: Vec<Value> = all.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        lines.into_iter().find(|status| status["id"] == 2 && status.get("error").is_none())
    });
    assert_eq!((&status["begun"], &status["revision"]), (&json!(false), &json!(0)));
    let again = replicas.fleet_command(&["begin"]);
    assert_eq!(again.status.code(), Some(1), "a running group was bootstrapped again");
    let add = replicas.fleet_command(&["add", "2", &replicas.addresses[1].to_string()]);
    // The committed state rejects an ID that has been used before.
    assert_eq!(add.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&add.stderr).contains("a new disk takes a new number"));
    // Under a new ID, with an empty directory, the replica catches up.
    replicas.kill(1);
    let config = replicas.folder.join("new.json");
    let json = json!({"group": "g", "id": 4, "listen": replicas.addresses[1], "folder": replicas.folder.join("new")});
    std::fs::write(&config, json.to_string()).expect("a writable directory");
    let mut command = Command::new(env!("CARGO_BIN_EXE_pebblepost"));
    replicas.running[1] =
        Some(command.arg("keep").arg(config).stderr(Stdio::null()).spawn().expect("the program starts"));
    replicas.fleet_command_until_success(&["add", "4", &replicas.addresses[1].to_string()]);
    replicas.fleet_command_until_success(&["remove", "2"]);
    wait_for(LIMIT, "the replica did not catch up under its new ID", || {
        let at = format!("4={}", replicas.addresses[1]);
        let mut fleet = Command::new(env!("CARGO_BIN_EXE_pebblepost"));
        let out =
            fleet.args(["fleet", "--keepers", &at, "--json", "status"]).output().expect("the program starts");
        let status: Value = serde_json::from_slice(&out.stdout).ok()?;
        (status["revision"] == 2 && status["voters"] == json!([1, 3, 4])).then_some(())
    });
}

#[test]
fn a_replica_with_an_outdated_copy_of_its_disk_refuses_to_start() {
    let mut replicas = Replicas::start(4);
    replicas.fleet_command_until_success(&["drain", "w-1"]);
    let follower = (replicas.leader_and_revisions().0 + 1) % 3;
    replicas.kill(follower);
    let disk = replicas.folder.join(follower.to_string()).join("keeper.redb");
    let older = std::fs::read(&disk).expect("the replica has a disk");
    replicas.start_replica(follower);
    replicas.fleet_command_until_success(&["drain", "w-2"]);
    wait_for(LIMIT, "the follower did not catch up", || {
        (replicas.leader_and_revisions().1[follower] == 2).then_some(())
    });
    replicas.kill(follower);
    std::fs::write(&disk, older).expect("a writable directory");
    let errors = replicas.start_expecting_failure(follower);
    assert!(errors.contains("keeper.redb: an older copy"), "{errors}");
    replicas.fleet_command_until_success(&["drain", "w-3"]);
}

#[test]
fn errors_in_a_replicas_configuration_or_disk_are_one_line_naming_the_file() {
    let folder = common::temp_path("bad-keeper");
    std::fs::create_dir_all(folder.join("disk")).expect("a writable directory");
    let config = folder.join("keeper.json");
    let run = |json: Value| {
        std::fs::write(&config, json.to_string()).expect("a writable directory");
        let mut command = Command::new(env!("CARGO_BIN_EXE_pebblepost"));
        let out =
            command.arg("keep").arg(&config).env("RUST_LOG", "off").output().expect("the program starts");
        assert!(!out.status.success());
        String::from_utf8_lossy(&out.stderr).into_owned()
    };
    let valid = json!({"group": "g", "id": 1, "listen": "127.0.0.1:1", "folder": folder.join("disk")});
    let with = |key: &str, value: Value| {
        let mut json = valid.clone();
        json[key] = value;
        json
    };
    for (json, expected) in [
        (with("listen", json!("10.0.0.1:7501")), "listen: listen and dial must be loopback addresses"),
        (with("listen", json!("127.0.0.1:0")), "listen: a port is missing"),
        (with("session_s", json!(0.1)), "session_s: must be 0.5 to 600 seconds"),
        (with("colour", json!(1)), "unknown field `colour`"),
        (json!({"group": "g"}), "missing field `id`"),
    ] {
        let errors = run(json);
        assert!(
            errors.contains("keeper.json") && errors.contains(expected) && errors.lines().count() == 1,
            "{errors}"
        );
    }
    std::fs::write(folder.join("disk").join("keeper.redb"), "not what was written")
        .expect("a writable directory");
    let listener = TcpListener::bind("127.78.9.1:0").expect("a free port");
    let at = listener.local_addr().expect("a bound listener");
    assert!(run(with("listen", json!(at))).contains("cannot listen on"));
    drop(listener);
    let errors = run(with("listen", json!(at)));
    assert!(errors.contains("keeper.redb: damaged") && errors.contains("docs/operate/store.md"), "{errors}");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn files_of_the_old_store_are_imported_and_truncated_ones_rejected() {
    use sha2::{Digest, Sha256};
    let replicas = Replicas::start(3);
    let file = common::temp_path("old-store");
    let body = json!({"node": "a", "registers": {
        "drain/s-1": [true, 3, "a"], "drain/s-2": [null, 4, "a"], "setting/faktory.heartbeat_s": [5, 1, "a"],
    }})
    .to_string();
    let sum: String = Sha256::digest(body.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect();
    let shown = file.display().to_string();
    std::fs::write(&file, format!("{sum}\n{}\n", &body[1..])).expect("a writable directory");
    let truncated = replicas.fleet_command(&["import", &shown]);
    assert_eq!(truncated.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&truncated.stderr).contains("checksum does not match"));
    std::fs::write(&file, format!("{sum}\n{body}\n")).expect("a writable directory");
    replicas.fleet_command_until_success(&["import", &shown]);
    let state = replicas.fleet_command_until_success(&["show"]);
    assert!(
        state.contains("drain/s-1\tby tester") && state.contains("setting/faktory.heartbeat_s\t5"),
        "{state}"
    );
    assert!(!state.contains("s-2") && state.contains("taken over from"), "{state}");
    // The backup is restored in its own group after a change, and in a new group that holds no data.
    let backup = common::temp_path("backup");
    let backup_path = backup.display().to_string();
    replicas.fleet_command_until_success(&["backup", &backup_path]);
    assert_eq!(
        replicas.fleet_command(&["backup", &backup_path]).status.code(),
        Some(1),
        "an existing backup was overwritten"
    );
    replicas.fleet_command_until_success(&["undrain", "s-1"]);
    let other = Replicas::start(5);
    for group in [&replicas, &other] {
        group.fleet_command_until_success(&["restore", &backup_path]);
        assert!(group.fleet_command_until_success(&["show"]).contains("drain/s-1\tby tester"));
    }
    std::fs::write(&backup, "0\n{}\n").expect("a writable directory");
    assert_eq!(other.fleet_command(&["restore", &backup_path]).status.code(), Some(2));
    let _ = (std::fs::remove_file(file), std::fs::remove_file(backup));
}
