//! Compares the externally visible output of the program with approved texts: errors of the configuration, replies on every
//! listener, requests to workers and discovery, trace lines, stored files, and the command line.
//!
//! `PEBBLEPOST_APPROVE=1` rewrites the texts in `tests/approved`.

mod common;

use common::{
    Connection, RunningDaemon, header, job_request, platform_config, platform_settings, send_lines,
    start_worker,
};
use pebblepost::clock::Clock;
use pebblepost::config::{self, read_settings};
use pebblepost::engine::{AttemptId, Engine, FinalResponse, Input, Output, Request};
use pebblepost::net::ListenerKind;
use pebblepost::{
    checksummed_file,
    discovery::registry::{AppliedList, Registry},
    store_replica,
};
use pebblepost_dispatch::api::{
    CellId, ClassId, Entry, KindId, ListKind, RequestId, Status, TenantId, Time, WorkerId, WorkerState,
    ZoneId,
};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Mutex, mpsc};
use std::time::Duration;

fn assert_approved(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/approved").join(name);
    if std::env::var_os("PEBBLEPOST_APPROVE").is_some() {
        std::fs::write(&path, text).expect("a writable directory");
    }
    let approved = std::fs::read_to_string(&path).expect("an approved text");
    for (number, (approved, now)) in approved.lines().zip(text.lines()).enumerate() {
        assert_eq!(now, approved, "{name}, line {}", number + 1);
    }
    assert_eq!(text, approved, "{name}");
}

/// Replaces each number that directly follows `mark` by `#`, as it is measured and differs between runs.
fn mask_number_after(text: &str, mark: &str) -> String {
    let mut parts = text.split(mark);
    let mut result = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let rest = part.trim_start_matches(|character: char| character.is_ascii_digit() || character == '.');
        let _ = write!(result, "{mark}{}{rest}", if rest.len() < part.len() { "#" } else { "" });
    }
    result
}

/// Sends `text`, reads until the daemon closes the connection, and returns what was read.
fn exchange(daemon: &RunningDaemon, listener: ListenerKind, text: &str) -> String {
    let mut stream = TcpStream::connect(daemon.address(listener)).expect("a listener");
    stream.set_read_timeout(Some(Duration::from_secs(15))).expect("a valid time-out");
    stream.write_all(text.as_bytes()).expect("an open connection");
    let mut reply = Vec::new();
    let _ = stream.read_to_end(&mut reply);
    let _ = stream.shutdown(Shutdown::Both);
    String::from_utf8_lossy(&reply).into_owned()
}

struct ConfigFiles {
    config: PathBuf,
    operator: PathBuf,
}

impl ConfigFiles {
    fn new() -> Self {
        Self { config: common::temp_path("config.json"), operator: common::temp_path("operator.json") }
    }

    fn read(&self, config: Option<&str>, operator: Option<&str>, variables: &[(&str, &str)]) -> String {
        for (path, text) in [(&self.config, config), (&self.operator, operator)] {
            if let Some(text) = text {
                std::fs::write(path, text).expect("a writable directory");
            }
        }
        let var = |name: &str| {
            if name == "PROXY_CONFIG" && config.is_some() {
                return Some(self.config.display().to_string());
            }
            variables.iter().find(|(key, _)| *key == name).map(|(_, value)| (*value).to_owned())
        };
        let read = config::read(var, operator.map(|_| self.operator.as_path()));
        let text = match read {
            Err(error) => format!("error: {error}"),
            Ok(config) => summary(&config),
        };
        text.replace(&self.config.display().to_string(), "CONFIG")
            .replace(&self.operator.display().to_string(), "OPERATOR")
    }
}

impl Drop for ConfigFiles {
    fn drop(&mut self) {
        [&self.config, &self.operator].into_iter().for_each(|path| drop(std::fs::remove_file(path)));
    }
}

fn summary(config: &config::Config) -> String {
    let mut text = format!(
        "name {} listen {:?} discovery {:?} sockets {} connect_timeout {:?} agent_check {:?} health {:?}\n  classes {:?} \
         tenants {:?} zones {:?} kinds {:?} report {:?} known {}",
        config.name,
        config.listen,
        config.discovery,
        config.max_descriptors,
        config.connect_timeout,
        config.agent_check,
        config.health,
        config.classes.iter().map(|class| (&class.name, class.deadline)).collect::<Vec<_>>(),
        config.tenants,
        config.zones,
        config.kinds,
        config.report_names,
        config.known_endpoints.as_ref().map_or_else(String::new, Value::to_string),
    );
    let _ = write!(text, "\n  settings {}", config.settings_json);
    if let Some(faktory) = &config.faktory {
        let queues: Vec<_> = faktory
            .queues
            .iter()
            .map(|queue| (queue.name.as_str(), queue.class, queue.kind, queue.deadline))
            .collect();
        let _ = write!(
            text,
            "\n  faktory {} {:?} {:?} {:?} {:?} {queues:?}",
            faktory.listen, faktory.password, faktory.heartbeat, faktory.reserve_for, faktory.key
        );
    }
    if let Some(fleet) = &config.fleet {
        let _ = write!(
            text,
            "\n  fleet {:?} {:?} {:?} {:?} {:?}",
            fleet.replicas, fleet.control, fleet.copy, fleet.zone, fleet.version
        );
    }
    text
}

/// Returns operator's files, most of them with one error.
fn operator_files() -> Vec<Value> {
    vec![
        json!({}),
        json!({"nmae": "x"}),
        json!({"name": "op", "agent_check": {"listen": "127.0.0.1:1"}, "health": {"listen": "127.0.0.1:2"}}),
        json!({"agent_check": {"liste": "127.0.0.1:1"}}),
        json!({"agent_check": 1}),
        json!({"health": {"listen": 2}}),
        json!({"health": {}}),
        json!({"settings": []}),
        json!({"settings": {"room": {"x": 1}}}),
        json!({"settings": {"instances": 9}}),
        json!({"settings": {"tick": "soon"}}),
        json!({"faktory": 1}),
        json!({"faktory": {"port": 1}}),
        json!({"faktory": {}}),
        json!({"faktory": {"listen": "127.0.0.1:3"}}),
        json!({"faktory": {"listen": "127.0.0.1:3", "password": 1}}),
        json!({"faktory": {"listen": "127.0.0.1:3", "key": 1}}),
        json!({"faktory": {"listen": "127.0.0.1:3", "heartbeat_s": 0}}),
        json!({"faktory": {"listen": "127.0.0.1:3", "reserve_for_s": "x"}}),
        json!({"faktory": {"listen": "127.0.0.1:3", "queues": []}}),
        json!({"faktory": {"listen": "127.0.0.1:3", "queues": {"q": 1}}}),
        json!({"faktory": {"listen": "127.0.0.1:3", "queues": {"q": {"x": 1}}}}),
        json!({"faktory": {"listen": "127.0.0.1:3", "queues": {"q": {"deadline_s": 1e9}}}}),
        json!({"faktory": {"listen": "127.0.0.1:3", "queues": {"q": {"wanted_s": -1}}}}),
        json!({"faktory": {"listen": "127.0.0.1:3", "queues": {"q": {"workers_drop_repeats": 1}}}}),
        json!({"faktory": {"listen": "127.0.0.1:3", "password": "p", "key": "k", "heartbeat_s": 2, "reserve_for_s": 3,
            "queues": {"a": {"deadline_s": 5, "wanted_s": 1, "workers_drop_repeats": true}, "b": {}}}}),
        json!({"fleet": 1}),
        json!({"fleet": {"keeper": {}}}),
        json!({"fleet": {"keepers": {"x": "127.0.0.1:1"}}}),
        json!({"fleet": {"keepers": {"1": "nowhere"}}}),
        json!({"fleet": {"keepers": {"1": "10.0.0.1:1"}}}),
        json!({"fleet": {"control": "10.0.0.1:1"}}),
        json!({"fleet": {"zone": "a\nb"}}),
        json!({"fleet": {"version": "x".repeat(2000)}}),
        json!({"fleet": {"keepers": {"1": "127.0.0.1:1", "2": "127.0.0.1:2"}, "control": "127.0.0.1:3", "copy": "/c",
            "zone": "z", "version": "v"}}),
    ]
}

#[test]
fn configuration_errors_and_values_are_as_approved() {
    let files = ConfigFiles::new();
    let base = || platform_config(&["127.0.0.1:9".parse().expect("an address")], None);
    let mut transcript = String::new();
    let mut config_case = |name: &str, change: &dyn Fn(&mut Value)| {
        let mut json = base();
        change(&mut json);
        let read = files.read(Some(&json.to_string()), None, &[]);
        let _ = writeln!(transcript, "config {name}: {read}");
    };
    config_case("as it is", &|_| {});
    config_case("seed as a number", &|json| json["seed"] = json!(7));
    config_case("seed not hexadecimal", &|json| json["seed"] = json!("xyz"));
    config_case("seed of another type", &|json| json["seed"] = json!(true));
    config_case("few sockets", &|json| json["limits"]["sockets"] = json!(40));
    config_case("sockets as a text", &|json| json["limits"]["sockets"] = json!("many"));
    config_case("listen as a number", &|json| json["listen"] = json!(1));
    config_case("listen without a port", &|json| json["listen"] = json!("127.0.0.1"));
    config_case("no listen", &|json| json["listen"] = Value::Null);
    config_case("discovery as a name", &|json| json["discovery"] = json!("host:1"));
    config_case("no settings", &|json| drop(json.as_object_mut().expect("an object").remove("settings")));
    config_case("settings as a list", &|json| json["settings"] = json!([]));
    config_case("no classes", &|json| json["settings"]["classes"] = json!([]));
    config_case("classes without deadline", &|json| json["settings"]["classes"] = json!([{"name": "a"}]));
    config_case("no connect time-out", &|json| json["settings"]["caps"]["connectTimeout"] = json!(0));
    config_case("known as a text", &|json| json["known"] = json!("none"));
    config_case("tenants", &|json| json["settings"]["tenants"] = json!([{"name": "x"}, "y"]));
    for (name, config) in [("no JSON", "{"), ("a list", "[]"), ("empty", "{}")] {
        let _ = writeln!(transcript, "config {name}: {}", files.read(Some(config), None, &[]));
    }
    let _ = writeln!(transcript, "nothing named: {}", files.read(None, None, &[]));
    let variables =
        [("PROXY_LISTEN", "127.0.0.1:7"), ("PROXY_DISCOVERY", "127.0.0.1:8"), ("PROXY_NAME", "env")];
    let text = base().to_string();
    let _ = writeln!(transcript, "environment: {}", files.read(Some(&text), None, &variables));
    let _ = writeln!(
        transcript,
        "environment wrong: {}",
        files.read(Some(&text), None, &[("PROXY_DISCOVERY", "x")])
    );
    for operator in operator_files() {
        let read = files.read(Some(&text), Some(&operator.to_string()), &[]);
        let shown: String = operator.to_string().chars().take(160).collect();
        let _ = writeln!(transcript, "operator {shown}: {read}");
    }
    let alone = json!({"name": "alone", "faktory": {"listen": "127.0.0.1:3"}}).to_string();
    let _ = writeln!(transcript, "operator alone: {}", files.read(None, Some(&alone), &[]));
    let _ = writeln!(transcript, "operator no JSON: {}", files.read(Some(&text), Some("{"), &[]));
    let mut without_kinds = base();
    without_kinds["settings"]["kinds"] = json!([]);
    let _ = writeln!(
        transcript,
        "faktory without kinds: {}",
        files.read(Some(&without_kinds.to_string()), Some(&alone), &[])
    );
    assert_approved("configuration.txt", &transcript);
}

#[test]
fn errors_of_a_replica_configuration_are_as_approved() {
    let path = common::temp_path("keeper.json");
    let mut transcript = String::new();
    let whole = json!({"group": "g", "id": 1, "listen": "127.0.0.1:7501", "folder": "/f"});
    for change in [
        json!({}),
        json!({"dial": {"2": "127.0.0.1:7"}, "session_s": 3, "heartbeat_ms": 50}),
        json!({"group": ""}),
        json!({"listen": "127.0.0.1:0"}),
        json!({"listen": "10.0.0.1:1"}),
        json!({"dial": {"2": "10.0.0.1:7"}}),
        json!({"dial": {"2": "127.0.0.1:0"}}),
        json!({"session_s": 0.1}),
        json!({"heartbeat_ms": 1}),
        json!({"id": "one"}),
        json!({"unknown": 1}),
    ] {
        let mut json = whole.clone();
        config::overlay(&mut json, &change);
        std::fs::write(&path, json.to_string()).expect("a writable directory");
        let read = match store_replica::read_config(&path) {
            Ok(read) => format!(
                "{} {} {} {:?} {:?} {:?} {:?}",
                read.group,
                read.id,
                read.listen,
                read.data_dir,
                read.dial_addresses,
                read.session_ttl,
                read.heartbeat_interval
            ),
            Err(error) => error.to_string().replace(&path.display().to_string(), "KEEPER"),
        };
        let _ = writeln!(transcript, "{change}: {read}");
    }
    let _ = std::fs::remove_file(&path);
    assert_approved("keeper_file.txt", &transcript);
}

/// Starts a daemon with all four listeners, that of the agent, and one worker. The channel returns the head lines of each
/// request that the worker gets.
fn daemon_with_listeners() -> (RunningDaemon, mpsc::Receiver<Vec<String>>) {
    let (sender, requests) = mpsc::channel();
    let sender = std::sync::Arc::new(Mutex::new(sender));
    let serving = start_worker(move |connection, head| {
        let _ = sender.lock().expect("no thread has panicked").send(head.to_vec());
        let id = header(head, "x-txn").expect("an X-Txn header");
        match id.as_str() {
            "fails" => connection.send("HTTP/1.1 422 No\r\nContent-Length: 0\r\n\r\n"),
            "object" => {
                send_lines(connection, &[json!({"id": id, "state": "done", "result": {"a": [1, 2]}})])
            }
            _ => send_lines(
                connection,
                &[
                    json!({"id": id, "state": "started"}),
                    json!({"id": id, "state": "done", "result": "text"}),
                ],
            ),
        }
    });
    let listen = json!({"listen": "127.0.0.1:0"});
    let operator = json!({
        "faktory": {"listen": "127.0.0.1:0", "queues": {"default": {}, "images": {"deadline_s": 5}}, "key": "once"},
        "agent_check": listen, "health": listen, "fleet": {"control": "127.0.0.1:0"}
    });
    let daemon = RunningDaemon::start(Some(platform_config(&[serving], None)), Some(operator));
    (daemon, requests)
}

#[test]
fn replies_on_http_listeners_and_forwarded_requests_are_as_approved() {
    let (daemon, requests) = daemon_with_listeners();
    common::wait_for(Duration::from_secs(10), "the daemon did not serve", || {
        exchange(&daemon, ListenerKind::Platform, &job_request("t", "Connection: close\r\n", ""))
            .contains(" 200 ")
            .then_some(())
    });
    while requests.try_recv().is_ok() {}
    let mut transcript = String::new();
    let close = "Connection: close\r\n\r\n";
    let end = "GET /none HTTP/1.1\r\nConnection: close\r\n\r\n";
    let api = |headers: &str| format!("POST /api HTTP/1.1\r\n{headers}Content-Length: 2\r\n{close}ab");
    for text in [
        format!("GET /ready HTTP/1.1\r\n{close}"),
        format!("HEAD /health HTTP/1.1\r\n{close}"),
        format!("PUT /ready HTTP/1.1\r\n{close}"),
        format!("POST /other HTTP/1.1\r\n{close}"),
        format!("GET /api/x HTTP/1.1\r\n\r\n{end}"),
        "GET /health HTTP/1.0\r\n\r\n".to_owned(),
        api(""),
        api("X-Txn: a b\r\nX-Lane: render\r\n"),
        api("X-Txn: a\r\nX-Lane: none\r\n"),
        api("X-Txn: a\r\nX-Lane: render\r\nX-Remaining-Ms: -1\r\n"),
        api("X-Txn: a\r\nX-Lane: render\r\nX-Estimate: NaN\r\n"),
        api("X-Txn: a\r\nX-Lane: render\r\nX-Labels: slots=x\r\n"),
        api("X-Txn: a\r\nX-Lane: render\r\nX-Labels: slots\r\n"),
        api(
            "X-Txn: good\r\nX-Lane: render\r\nX-Labels: slots=1,mem=2\r\nX-Estimate: 10\r\nX-Org: o\r\nX-Resent: 1\r\n\
             Cookie: k=1; l=2\r\nContent-Type: text/plain\r\nX-Other: dropped\r\nIdempotency-Key: i\r\n",
        ),
        api("X-Txn: object\r\nX-Lane: render\r\nHost: h\r\nX-Remaining-Ms: 2000\r\n"),
        api("X-Txn: fails\r\nX-Lane: render\r\n"),
        "nonsense\r\n\r\n".to_owned(),
        "POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n".to_owned(),
        "POST /api HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n".to_owned(),
        "POST /api HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
        format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(17_000)),
        format!("POST /api HTTP/1.1\r\nExpect: 100-continue\r\n{close}"),
    ] {
        let reply = exchange(&daemon, ListenerKind::Platform, &text);
        let shown: String = text.chars().take(300).collect();
        let _ = writeln!(transcript, "platform {shown:?}\n  -> {reply:?}");
        while let Ok(head) = requests.try_recv() {
            let head = mask_number_after(&head.join("\r\n"), "X-Remaining-Ms: ");
            let _ = writeln!(transcript, "  forwarded {head:?}");
        }
    }
    for text in [
        format!("GET / HTTP/1.1\r\n{close}"),
        format!("GET /ready?x HTTP/1.1\r\n{close}"),
        format!("HEAD /health HTTP/1.1\r\n{close}"),
        format!("POST /health HTTP/1.1\r\n{close}"),
        format!("GET /none HTTP/1.1\r\n{close}"),
        "GET / HTTP/1.1\r\nContent-Length: 3\r\n\r\n".to_owned(),
        "x\r\n\r\n".to_owned(),
    ] {
        let reply = exchange(&daemon, ListenerKind::Health, &text);
        let _ = writeln!(transcript, "health {text:?}\n  -> {reply:?}");
    }
    let line = exchange(&daemon, ListenerKind::AgentCheck, "");
    let _ = writeln!(transcript, "agent check -> {:?}", mask_number_after(&line, "up ready "));
    assert_approved("http.txt", &transcript);
}

#[test]
fn faktory_replies_are_as_approved() {
    let (daemon, _requests) = daemon_with_listeners();
    let mut transcript = String::new();
    for text in [
        "PUSH {}\r\n".to_owned(),
        "HELLO {\"v\":1}\r\n".to_owned(),
        "HELLO x\r\nHELLO {\"v\":2}\r\nHELLO {\"v\":2}\r\nEND\r\n".to_owned(),
        "HELLO {\"v\":2}\r\nPUSH x\r\nPUSH {}\r\nPUSH {\"jid\":\"a\",\"jobtype\":\"t\",\"args\":[],\"at\":\"later\"}\r\n\
         PUSH {\"jid\":\"a\",\"jobtype\":\"t\",\"args\":[],\"queue\":\"none\"}\r\n\
         PUSH {\"jid\":\"a\",\"jobtype\":\"t\",\"args\":[],\"reserve_for\":0}\r\n\
         FETCH default\r\nACK {}\r\nACK {\"jid\":\"x\"}\r\nFAIL {\"jid\":\"x\"}\r\nBEAT {}\r\nNONE\r\nINFO\r\nEND\r\n"
            .to_owned(),
        "HELLO {\"v\":2,\"wid\":\"w\"}\r\nBEAT {}\r\nBEAT {\"current_state\":\"quiet\"}\r\nEND\r\n".to_owned(),
        format!("HELLO {{\"v\":2}}\r\nPUSH {}\r\n", "x".repeat(70_000)),
    ] {
        let reply = exchange(&daemon, ListenerKind::Faktory, &text);
        let shown: String = text.chars().take(600).collect();
        let _ = writeln!(transcript, "{shown:?}\n  -> {reply:?}");
    }
    // One job is fetched, acknowledged, and pushed again within the deduplication window.
    let mut producer = daemon.connect(ListenerKind::Faktory);
    let mut consumer = daemon.connect(ListenerKind::Faktory);
    let mut exchange_lines = |connection: &mut Connection, text: &str, replies: usize| {
        if !text.is_empty() {
            connection.send(&format!("{text}\r\n"));
        }
        let replies: Vec<String> = (0..replies).map(|_| connection.read_line()).collect();
        let _ = writeln!(transcript, "{text:?} -> {replies:?}");
    };
    exchange_lines(&mut producer, "HELLO {\"v\":2}", 2);
    exchange_lines(&mut consumer, "HELLO {\"v\":2,\"wid\":\"w1\"}", 2);
    exchange_lines(&mut consumer, "FETCH images default", 0);
    let job =
        "PUSH {\"jid\":\"j\",\"jobtype\":\"t\",\"args\":[1],\"queue\":\"images\",\"custom\":{\"once\":5}}";
    exchange_lines(&mut producer, job, 0);
    exchange_lines(&mut consumer, "", 2);
    exchange_lines(&mut consumer, "ACK {\"jid\":\"j\"}", 1);
    exchange_lines(&mut producer, "", 1);
    let mut again = daemon.connect(ListenerKind::Faktory);
    exchange_lines(&mut again, "HELLO {\"v\":2}", 2);
    exchange_lines(&mut again, job, 1);
    exchange_lines(&mut again, "INFO", 2);
    let transcript = mask_number_after(&transcript, "\"connections\":");
    let transcript = mask_number_after(&transcript, "\\\"connections\\\":");
    assert_approved("faktory.txt", &transcript);
}

#[test]
fn agent_replies_to_operators_are_as_approved() {
    let (daemon, _requests) = daemon_with_listeners();
    let mut connection = Connection::new(
        TcpStream::connect(daemon.control_address.expect("a control listener is configured"))
            .expect("a listener"),
    );
    let mut transcript = String::new();
    for line in [
        "nonsense",
        "[]",
        "{}",
        r#"{"drain":""}"#,
        r#"{"drain":"s-0","undrain":"s-0"}"#,
        r#"{"drain":"s-9","why":"a\nb"}"#,
        r#"{"undrain":"s-9"}"#,
        r#"{"show":true}"#,
        r#"{"drain":"s-9","why":"broken"}"#,
        r#"{"show":true}"#,
        r#"{"undrain":"s-9"}"#,
        r#"{"show":true}"#,
    ] {
        connection.send(&format!("{line}\n"));
        let _ = writeln!(transcript, "{line} -> {}", connection.read_line());
    }
    assert_approved("agent_control.txt", &transcript);
}

#[test]
fn the_discovery_request_is_as_approved() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let config = platform_config(&[], Some(listener.local_addr().expect("a bound listener")));
    let _daemon = RunningDaemon::start(Some(config), None);
    let mut stream = listener.accept().expect("a connection for the watch").0;
    let expected = "GET /v1/endpoints?watch=1&from=1 HTTP/1.1\r\nHost: discovery\r\n\r\n";
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a valid time-out");
    let mut bytes = vec![0; expected.len()];
    stream.read_exact(&mut bytes).expect("a complete request");
    assert_eq!(String::from_utf8_lossy(&bytes), expected);
}

#[test]
fn a_checksummed_file_is_written_as_approved() {
    let path = common::temp_path("checksum");
    checksummed_file::create(&path, r#"{"revision":7}"#).expect("a writable directory");
    let written = std::fs::read_to_string(&path).expect("written");
    assert_approved("checksummed_file.txt", &written);
    assert!(checksummed_file::create(&path, "x").is_err(), "an existing file was overwritten");
    std::fs::write(&path, written.replace('7', "8")).expect("a writable directory");
    let error = checksummed_file::read(&path).expect_err("a checksum mismatch");
    assert_eq!(
        error.to_string(),
        "file is truncated, damaged or of another format: SHA-256 checksum does not match the body"
    );
    checksummed_file::replace(&path, "body").expect("replaced");
    assert_eq!(checksummed_file::read(&path).expect("a valid file"), "body");
    let _ = std::fs::remove_file(&path);
}

fn format_entries(entries: &[Entry]) -> String {
    let number = |entry: &Entry| {
        format!(
            "{}/{}/{}/{}/{:?}/{:x}/{}",
            entry.worker.0,
            entry.zone.0,
            entry.kind.0,
            entry.cell.0,
            entry.state,
            entry.name,
            entry.started.is_some()
        )
    };
    entries.iter().map(number).collect::<Vec<_>>().join(" ")
}

#[test]
fn engine_inputs_from_endpoint_lists_are_as_approved() {
    let clock = Clock::default();
    let mut registry = Registry::new(vec!["a".into(), "b".into()], vec!["m".into()]);
    let mut transcript = String::new();
    let host = |name: &str, dial: Value, health: &str, born_ms: u64| json!({"host": name, "dial": dial, "site": "b", "class": 3, "block": 2, "health": health, "born_ms": born_ms});
    let one = || json!("127.0.0.1:1");
    for list in [
        json!({"seq": 1, "whole": true, "hosts": [host("a", one(), "ready", 1), host("b", one(), "draining", 0)]}),
        json!({"seq": 2, "whole": false, "hosts": [host("c", one(), "ready", 5), host("a", one(), "draining", 1)]}),
        json!({"seq": 1, "whole": false, "hosts": [host("a", one(), "ready", 1), host("b", one(), "ready", 9)]}),
        json!({"seq": 3, "whole": false, "hosts": [host("a", Value::Null, "gone", 1), host("c", json!("127.0.0.1:2"), "ready", 5)]}),
        json!({"seq": 4, "whole": true, "hosts": [host("c", one(), "ready", 5)]}),
        json!({"seq": 5, "whole": true, "hosts": [host("c", one(), "odd", 5)]}),
    ] {
        let applied = registry.apply(&list, None, &clock);
        let text = match &applied {
            Some(AppliedList { input: Input::Membership(kind, entries), stale_workers: stale }) => {
                let stale: Vec<u32> = stale.iter().map(|worker| worker.0).collect();
                format!("{kind:?} {} stale {stale:?}", format_entries(entries))
            }
            Some(_) => "another input".to_owned(),
            None => "no list".to_owned(),
        };
        let _ = writeln!(transcript, "{text}");
    }
    let marks = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    for names in [&["c"][..], &["c"], &[]] {
        match registry.set_drained(marks(names)) {
            Some(Input::Membership(kind, entries)) => {
                let _ = writeln!(transcript, "marks {names:?}: {kind:?} {}", format_entries(&entries));
            }
            _ => {
                let _ = writeln!(transcript, "marks {names:?}: none");
            }
        }
    }
    assert_approved("endpoint_lists.txt", &transcript);
}

static TRACE: Mutex<String> = Mutex::new(String::new());

/// Returns the 64-bit FNV-1a hash.
fn fnv1a_64(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

/// A deterministic environment of the engine: it answers each output after a fixed delay, with outcomes in a fixed cycle.
struct SimulatedEnvironment {
    engine: Engine,
    now: u64,
    pending: BTreeMap<(Time, u32), Input>,
    scheduled: u32,
    attempts: u32,
    /// The engine's outputs as numbers, one output a line.
    transcript: String,
}

impl SimulatedEnvironment {
    fn schedule(&mut self, at: Time, input: Input) {
        self.scheduled += 1;
        self.pending.insert((at, self.scheduled), input);
    }

    fn turn(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.engine.process_inputs(Time(self.now), &mut vec![input], &mut outputs);
        for output in outputs {
            self.handle_output(output);
        }
    }

    fn handle_output(&mut self, output: Output) {
        const MS: u64 = 1_000_000;
        let now = self.now;
        let report = || vec![0.25, 0.0, 3.0];
        let write = |transcript: &mut String, name: &str, numbers: &[u64]| {
            let _ = writeln!(transcript, "{name} {now} {numbers:?}");
        };
        match output {
            Output::Deliver { attempt, worker, time_left: left } => {
                let AttemptId { request: id, number } = attempt;
                let numbers =
                    [u64::from(id.0), u64::from(number.0), u64::from(worker.0), left.as_nanos() as u64];
                write(&mut self.transcript, "deliver", &numbers);
                self.attempts += 1;
                let kinds = [
                    Status::Ok,
                    Status::Error,
                    Status::Full,
                    Status::ConnectFailed,
                    Status::Reset,
                    Status::Timeout,
                ];
                let status = kinds[self.attempts as usize % kinds.len()];
                match self.attempts % 9 {
                    0 => self.schedule(Time(now + 2 * MS), Input::Connected(attempt)),
                    8 => self.schedule(Time(now + 2 * MS), Input::RequestInvalid(attempt)),
                    _ => {
                        self.schedule(Time(now + MS), Input::Started(attempt));
                        self.schedule(Time(now + 2 * MS), Input::Progress(attempt, 0.5));
                        let ended =
                            Input::AttemptEnded { attempt, status, report: report(), body: b"body".to_vec() };
                        self.schedule(Time(now + u64::from(3 + self.attempts % 40) * MS), ended);
                    }
                }
            }
            Output::Transmit { attempt, time_left: left } => {
                let AttemptId { request: id, number } = attempt;
                let numbers = [u64::from(id.0), u64::from(number.0), left.as_nanos() as u64];
                write(&mut self.transcript, "transmit", &numbers);
            }
            Output::Abandon(AttemptId { request: id, number }) => {
                write(&mut self.transcript, "abandon", &[u64::from(id.0), u64::from(number.0)]);
            }
            Output::Probe(worker) => {
                write(&mut self.transcript, "probe", &[u64::from(worker.0)]);
                let latency = Duration::from_millis(1 + u64::from(worker.0));
                let status =
                    if worker.0 == 3 && now.is_multiple_of(7) { Status::Timeout } else { Status::Ok };
                let probed = Input::Probed { worker, status, latency, report: report() };
                self.schedule(Time(now) + latency, probed);
            }
            Output::CloseIdle(worker) => write(&mut self.transcript, "close idle", &[u64::from(worker.0)]),
            Output::Watch => write(&mut self.transcript, "watch", &[]),
            Output::Fetch => write(&mut self.transcript, "fetch", &[]),
            Output::SetTimer(at, due) => {
                write(&mut self.transcript, "timer", &[at.0]);
                self.schedule(at, Input::TimerDue(due));
            }
            Output::Respond(id, answer) => {
                let numbers = match answer {
                    FinalResponse::Served(body) => [u64::from(id.0), 200, body.len() as u64],
                    FinalResponse::Rejected(after) => [u64::from(id.0), 503, after.as_nanos() as u64],
                    FinalResponse::Failed => [u64::from(id.0), 502, 0],
                };
                write(&mut self.transcript, "answer", &numbers);
            }
        }
    }

    fn run_until(&mut self, millis: u64) {
        let end = millis * 1_000_000;
        while let Some(first) = self.pending.first_entry().filter(|entry| entry.key().0.0 <= end) {
            self.now = self.now.max(first.key().0.0);
            let input = first.remove();
            self.turn(input);
        }
        self.now = self.now.max(end);
    }
}

#[test]
fn engine_outputs_and_trace_are_as_approved() {
    let log: fn(&str) = |line| {
        let _ = writeln!(TRACE.lock().expect("no thread has panicked"), "{line}");
    };
    let settings = read_settings("test", &platform_settings()).expect("valid settings");
    let mut environment = SimulatedEnvironment {
        engine: Engine::new(settings, 7, Time(1)).with_trace(Some(log)),
        now: 1,
        pending: BTreeMap::new(),
        scheduled: 0,
        attempts: 0,
        transcript: String::new(),
    };
    let entry = |number: u32, state: WorkerState| Entry {
        worker: WorkerId(number),
        zone: ZoneId(number as u16 % 2),
        kind: KindId(0),
        cell: CellId(0),
        state,
        name: u64::from(number),
        started: None,
    };
    let all = (0..5).map(|number| entry(number, WorkerState::Ready)).collect();
    environment.turn(Input::Membership(ListKind::Full, all));
    for id in 1..=300_u32 {
        environment.run_until(u64::from(id) * 9);
        let request = Request {
            class: ClassId(0),
            time_left: Duration::from_millis(100 + u64::from(id * 37 % 1500)),
            repeat: id % 11 == 0,
            slots: 1.0,
            memory: 0.0,
            work: (id % 2 == 0).then_some(Duration::from_millis(20)),
            key: u64::from(id % 3),
            tenant: TenantId(0),
        };
        environment.turn(Input::Request(RequestId(id), request));
        match id {
            100 => {
                environment.turn(Input::Membership(ListKind::Delta, vec![entry(1, WorkerState::Draining)]))
            }
            150 => environment.turn(Input::Membership(ListKind::Delta, vec![entry(2, WorkerState::Gone)])),
            200 => environment.turn(Input::Membership(
                ListKind::Cached,
                vec![entry(0, WorkerState::Ready), entry(3, WorkerState::Ready)],
            )),
            _ if id % 13 == 0 => environment.turn(Input::ClientDisconnected(RequestId(id - 1))),
            _ => {}
        }
    }
    environment.run_until(6_000);
    let counts = environment.engine.request_counts();
    let trace = TRACE.lock().expect("no thread has panicked").clone();
    let mut text: String = trace.lines().take(120).flat_map(|line| [line, "\n"]).collect();
    let _ = writeln!(text, "digest of {} lines {:016x}", trace.lines().count(), fnv1a_64(trace.bytes()));
    text.extend(environment.transcript.lines().take(120).flat_map(|line| [line, "\n"]));
    let count = environment.transcript.lines().count();
    let _ = writeln!(text, "digest of {count} outputs {:016x}", fnv1a_64(environment.transcript.bytes()));
    let _ = writeln!(text, "answered {} succeeded {}", counts.answered, counts.succeeded);
    let _ = writeln!(
        text,
        "unanswered {} ready {}",
        environment.engine.unanswered_requests(),
        environment.engine.ready_worker_count()
    );
    assert_approved("trace.txt", &text);
}

#[test]
fn command_line_output_is_as_approved() {
    let mut transcript = String::new();
    let mut run = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pebblepost"));
        command.args(arguments).env_remove("USER").env_remove("PEBBLEPOST_KEEPERS");
        command.env_remove("PEBBLEPOST_OPERATOR").env_remove("PROXY_CONFIG");
        let output = command.output().expect("the program starts");
        let (standard_output, errors) =
            (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        let _ =
            writeln!(transcript, "== {arguments:?} -> {:?}\n{standard_output}{errors}", output.status.code());
    };
    run(&[]);
    run(&["--help"]);
    run(&["--version"]);
    run(&["keep", "--help"]);
    run(&["keep", "/none/such"]);
    run(&["fleet", "--help"]);
    for command in [
        "begin", "status", "show", "members", "history", "watch", "drain", "undrain", "set", "add", "remove",
        "here", "backup", "restore", "import", "budget", "permit", "off", "release", "halt", "resume",
        "dismiss",
    ] {
        run(&["fleet", command, "--help"]);
    }
    for command in ["start", "back", "status", "plan", "drive"] {
        run(&["fleet", "release", command, "--help"]);
    }
    run(&["fleet", "status"]);
    run(&["fleet", "--keepers", "x", "status"]);
    run(&["fleet", "--keepers", "x=1", "status"]);
    run(&["fleet", "--keepers", "1=x", "status"]);
    run(&["fleet", "--keepers", "1=10.0.0.1:1", "status"]);
    run(&["fleet", "--keepers", "1=127.0.0.1:1", "--within", "0", "status"]);
    run(&["fleet", "--keepers", "1=127.0.0.1:1", "--by", "", "status"]);
    run(&["fleet", "--keepers", "1=127.0.0.1:1", "--within", "0.1", "members"]);
    run(&["fleet", "--keepers", "1=127.0.0.1:1", "restore", "/none/such"]);
    run(&["fleet", "--keepers", "1=127.0.0.1:1", "import", "/none/such"]);
    run(&["fleet", "--within", "0", "here", "127.0.0.1:1", "show"]);
    run(&["fleet", "here", "127.0.0.1:1", "show"]);
    run(&["fleet", "here", "127.0.0.1:1", "drain"]);
    run(&["fleet", "--keepers", "1=127.0.0.1:1", "release", "plan", "v", "--waves", "1", "--pause-s", "-1"]);
    assert_approved("commands.txt", &transcript);
}
