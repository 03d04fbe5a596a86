//! Compares the help text, output, error messages and exit code of every command with the approved files.

use pebblepost_link::{LinkLimits, Listener};
use pebblepost_messages::control::{FromControl, ToControl};
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

const SETTINGS_VARIABLE: &str = "PEBBLEPOST_SETTINGS";
const SETTINGS: &str =
    "node_name = \"edge-a-1\"\nip = \"127.0.0.1\"\nzone = \"a\"\nport_range = [7300, 7315]\n";
const STATE: &str = r#"{"role":"primary","term":3,"text":"a b","none":null,"yes":true,"part":0.5,
"named_versions":[{"model":"m","generation":2},{"model":"longer","generation":10}],
"nested":{"deep":{"x":1},"y":"z"},"empty":[],"plain":[1,"two"],"ragged":[{"a":1},{"b":"c"}]}"#;

const DOCUMENT: &str = r#"{"generation":7,"routes":[],"services":[]}"#;

/// A temporary directory of one test. Transcripts show its path as FOLDER.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("pebblepost-texts-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a directory");
        Folder(path)
    }

    fn file(&self, name: &str, content: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, content).expect("writable");
        path.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the program and appends its output and exit code to the transcript, with local paths and addresses
/// replaced.
fn record_run(
    transcript: &mut String, replacements: &[(&str, &str)], settings: Option<&str>, arguments: &[&str],
) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pebblepost-system"));
    command
        .args(arguments)
        .env_remove(SETTINGS_VARIABLE)
        .env_remove("PEBBLEPOST_LOG")
        .env("RUST_LOG", "error");
    if let Some(settings) = settings {
        command.env(SETTINGS_VARIABLE, settings);
    }
    let output = command.output().expect("the program starts");
    let code = output.status.code().expect("not ended by a signal");
    let mut text = format!("$ pebblepost-system {}\n", arguments.join(" "));
    write!(text, "{}", String::from_utf8(output.stdout).expect("UTF-8")).expect("written");
    for line in String::from_utf8(output.stderr).expect("UTF-8").lines() {
        writeln!(text, "stderr: {line}").expect("written");
    }
    writeln!(text, "[exit {code}]\n").expect("written");
    for (from, to) in replacements {
        text = text.replace(from, to);
    }
    transcript.push_str(&text);
}

/// Fails the test if the transcript differs from the approved file, and writes it below the target directory
/// for comparison.
#[track_caller]
fn assert_approved(name: &str, received: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/approved").join(name);
    let approved = std::fs::read_to_string(path).unwrap_or_default();
    if approved != received {
        let received_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&received_path, received).expect("writable");
        panic!("{} differs from the approved file:\n{received}", received_path.display());
    }
}

/// Starts a fake control node that sends the same HTTP response on each connection until the test ends.
fn start_control_node(status: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let _ = stream.read(&mut [0; 4096]).expect("a request");
            let response = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(response.as_bytes()).expect("written");
            // Reads the rest of the request: closing a socket with unread bytes would reset the connection.
            let _ = stream.shutdown(Shutdown::Write);
            let _ = std::io::copy(&mut stream, &mut std::io::sink());
        }
    });
    address
}

/// Starts a fake control node that sends its state over its internal port.
fn start_control_node_link(state: &'static str) -> SocketAddr {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let limits = LinkLimits {
                max_frame_bytes: 1 << 20,
                max_queued_bytes: 1 << 20,
                connect_timeout: Duration::from_secs(1),
                read_timeout: Duration::from_secs(10),
            };
            let mut listener =
                Listener::bind("127.0.0.1:0".parse().expect("an address"), limits).expect("bound");
            sender.send(listener.local_address().expect("bound")).expect("received");
            loop {
                let (link, mut messages) = listener.accept().await.expect("a link");
                tokio::task::spawn_local(async move {
                    while let Ok(message) = messages.receive::<ToControl>().await {
                        if message == ToControl::Status {
                            link.send(&FromControl::Status(state.as_bytes().to_vec()));
                        }
                    }
                });
            }
        });
    });
    receiver.recv().expect("bound")
}

#[test]
fn help_texts_match_the_approved_ones() {
    let mut transcript = String::new();
    let commands: [&[&str]; 13] = [
        &["--help"],
        &["--version"],
        &["proxy", "--help"],
        &["agent", "--help"],
        &["control", "--help"],
        &["store", "--help"],
        &["check", "--help"],
        &["status", "--help"],
        &["versions", "--help"],
        &["config", "--help"],
        &["config", "get", "--help"],
        &["config", "put", "--help"],
        &["retire", "--help"],
    ];
    for arguments in commands {
        record_run(&mut transcript, &[], None, arguments);
    }
    record_run(&mut transcript, &[], None, &["config", "patch", "--help"]);
    record_run(&mut transcript, &[], None, &["config", "check", "--help"]);
    assert_approved("help.txt", &transcript);
}

#[test]
fn usage_errors_match_the_approved_ones() {
    let mut transcript = String::new();
    let folder = Folder::new("usage");
    let (path, settings) = (folder.0.display().to_string(), folder.file("settings.toml", SETTINGS));
    let replacements = [(path.as_str(), "FOLDER")];
    let bad = folder.file("bad.toml", &SETTINGS.replace("[7300, 7315]", "\"many\""));
    let no_json = folder.file("no.json", "no json");
    let invalid = folder.file("invalid.json", r#"{"generation":7,"routes":[{"name":"a"}],"services":[]}"#);
    let valid = folder.file("valid.json", DOCUMENT);
    for arguments in [
        &["proxy"][..],
        &["check"],
        &["status"],
        &["versions"],
        &["config", "get"],
        &["config", "put", "FOLDER/none.json", "--control", "127.0.0.1:1"],
        &["config", "put", &no_json, "--control", "127.0.0.1:1"],
        &["config", "check", &no_json],
        &["config", "check", &invalid],
        &["config", "check", &valid],
        &["retire", "a/b", "--duration-s", "1", "--control", "127.0.0.1:1"],
        &["retire", "", "--duration-s", "1", "--control", "127.0.0.1:1"],
        &["serve"],
        &["status", "--store", "nowhere"],
    ] {
        record_run(&mut transcript, &replacements, None, arguments);
    }
    transcript.push_str("== with settings that name no seeds\n\n");
    for arguments in [&["check"][..], &["status"], &["config", "get"], &["proxy"]] {
        record_run(&mut transcript, &replacements, Some(&settings), arguments);
    }
    transcript.push_str("== with settings that can't be read\n\n");
    for arguments in [&["check"][..], &["agent"], &["config", "get"]] {
        record_run(&mut transcript, &replacements, Some(&bad), arguments);
    }
    assert_approved("usage.txt", &transcript);
}

#[test]
fn outputs_of_requests_match_the_approved_ones() {
    let mut transcript = String::new();
    let folder = Folder::new("calls");
    let valid = folder.file("valid.json", DOCUMENT);
    let path = folder.0.display().to_string();
    let accepting = start_control_node("200 OK", r#"{"generation":5,"state":"completed"}"#).to_string();
    let refusing = start_control_node("409 Conflict", r#"{"error":"another version"}"#).to_string();
    let empty = start_control_node("404 Not Found", "").to_string();
    let failing = start_control_node("500 Internal Server Error", "broken").to_string();
    let replacements = [
        (path.as_str(), "FOLDER"),
        (&accepting, "ACCEPTING"),
        (&refusing, "REFUSING"),
        (&empty, "EMPTY"),
        (&failing, "FAILING"),
    ];
    for arguments in [
        &["config", "get", "--control", &accepting][..],
        &["config", "put", &valid, "--control", &accepting],
        &["config", "patch", &valid, "--base", "6", "--control", &accepting],
        &["retire", "storage-a-1", "--duration-s", "10", "--control", &accepting],
        &["retire", "storage-a-1", "--duration-s", "10", "--wait", "--control", &accepting],
        &["config", "get", "--control", &refusing],
        &["config", "put", &valid, "--control", &refusing],
        &["config", "patch", &valid, "--base", "6", "--control", &refusing],
        &["retire", "storage-a-1", "--duration-s", "10", "--control", &refusing],
        &["config", "get", "--control", &empty],
        &["config", "put", &valid, "--control", &empty],
        &["config", "get", "--control", &failing],
    ] {
        record_run(&mut transcript, &replacements, None, arguments);
    }
    assert_approved("calls.txt", &transcript);
}

#[test]
fn state_tables_match_the_approved_ones() {
    let mut transcript = String::new();
    let primary = start_control_node_link(STATE).to_string();
    let standby = start_control_node_link(r#"{"role":"standby"}"#).to_string();
    let replacements = [(primary.as_str(), "PRIMARY"), (standby.as_str(), "STANDBY")];
    for arguments in [
        &["status", "--link", &standby, "--link", &primary][..],
        &["status", "--json", "--link", &primary],
        &["status", "--json", "--link", &standby],
        &["versions", "--link", &primary],
        &["versions", "--json", "--link", &primary],
        &["versions", "--link", &standby],
        &["status", "--link", "127.0.0.1:1"],
        &["status", "--store", "127.0.0.1:1"],
    ] {
        record_run(&mut transcript, &replacements, None, arguments);
    }
    assert_approved("states.txt", &transcript);
}
