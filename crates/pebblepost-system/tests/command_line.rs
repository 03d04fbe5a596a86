//! The command line: exit codes, one-line errors, requests to the control plane.

use rstest::rstest;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::thread;

const SETTINGS_VARIABLE: &str = "PEBBLEPOST_SETTINGS";
const SETTINGS: &str = r#"
node_name = "edge-a-1"
ip = "127.0.0.1"
zone = "a"
port_range = [7300, 7315]
"#;

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pebblepost-system"));
    command.env_remove(SETTINGS_VARIABLE);
    command
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("ended by itself")
}

fn error_of(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("text")
}

fn temporary_file(name: &str, content: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("pebblepost-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, content).expect("writable");
    path
}

/// A control process that responds with the given answers in turn, and returns the requests that it received.
fn control(answers: Vec<String>) -> (SocketAddr, thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let server = thread::spawn(move || answers.into_iter().map(|answer| serve(&listener, &answer)).collect());
    (address, server)
}

fn serve(listener: &TcpListener, answer: &str) -> String {
    let (mut stream, _) = listener.accept().expect("a call");
    let request = read_request(&stream);
    stream.write_all(answer.as_bytes()).expect("written");
    request
}

/// Reads a request: its first line, `If-Match` and body.
fn read_request(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).expect("a request");
    let (mut length, mut if_match) = (0, String::new());
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a header");
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().expect("a length");
        }
        if let Some(value) = line.strip_prefix("if-match: ") {
            if_match = format!(" if-match {value}");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    format!("{}{if_match} {}", first.trim(), String::from_utf8_lossy(&body))
}

fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn help_lists_roles_variables_and_exit_codes() {
    let output = program().arg("--help").output().expect("run");
    assert_eq!(code(&output), 0);
    let text = String::from_utf8(output.stdout).expect("text");
    for word in ["proxy", "agent", "control", "store", "status", "retire", SETTINGS_VARIABLE, "Exit codes"] {
        assert!(text.contains(word), "{word} is missing in {text}");
    }
}

#[rstest]
#[case::no_command(&[])]
#[case::unknown_command(&["serve"])]
#[case::no_duration(&["retire", "storage-a-1"])]
#[case::no_file(&["config", "check", "/does/not/exist"])]
#[case::no_settings_to_check(&["check"])]
#[case::no_addresses(&["status"])]
#[case::no_control(&["config", "get"])]
#[case::bad_node(&["retire", "a/b", "--duration-s", "1", "--control", "127.0.0.1:1"])]
fn wrong_usage_exits_with_2(#[case] arguments: &[&str]) {
    let output = program().args(arguments).output().expect("run");
    assert_eq!(code(&output), 2, "{}", error_of(&output));
}

#[rstest]
#[case::proxy("proxy")]
#[case::agent("agent")]
#[case::control("control")]
#[case::store("store")]
fn a_role_without_settings_exits_with_1_and_one_line(#[case] role: &str) {
    let output = program().arg(role).output().expect("run");
    assert_eq!(code(&output), 1);
    let error = error_of(&output);
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(error.contains(SETTINGS_VARIABLE), "{error}");
}

#[test]
fn check_prints_ok() {
    let path = temporary_file("good.toml", SETTINGS);
    let output = program().arg("check").env(SETTINGS_VARIABLE, &path).output().expect("run");
    assert_eq!((code(&output), output.stdout.as_slice()), (0, b"ok\n".as_slice()), "{}", error_of(&output));
}

#[test]
fn check_prints_file_and_key_in_one_line() {
    let path = temporary_file("bad.toml", &SETTINGS.replace("[7300, 7315]", "\"many\""));
    let output = program().arg("check").env(SETTINGS_VARIABLE, &path).output().expect("run");
    let error = error_of(&output);
    assert_eq!((code(&output), error.lines().count()), (2, 1), "{error}");
    assert!(error.contains("port_range") && error.contains("bad.toml"), "{error}");
}

#[test]
fn put_builds_on_the_generation_in_force_and_follows_redirects() {
    let document = r#"{"generation":7}"#;
    let path = temporary_file("put.json", document);
    let (primary, at_primary) =
        control(vec![answer("200 OK", "", r#"{"generation":5}"#), answer("200 OK", "", "{}")]);
    let redirect = answer("307 Temporary Redirect", &format!("Location: http://{primary}/config\r\n"), "");
    let (standby, at_standby) = control(vec![redirect.clone(), redirect]);
    let output = program()
        .args(["config", "put", "--control", &standby.to_string()])
        .arg(&path)
        .output()
        .expect("run");
    assert_eq!(code(&output), 0, "{}", error_of(&output));
    assert_eq!(at_standby.join().expect("served").len(), 2);
    let calls = at_primary.join().expect("served");
    assert_eq!(calls[0], "GET /config HTTP/1.1 ");
    assert_eq!(calls[1], format!("PUT /config HTTP/1.1 if-match 5 {document}"));
}

#[rstest]
#[case::other_version("412 Precondition Failed")]
#[case::conflict("409 Conflict")]
#[case::invalid("400 Bad Request")]
fn rejections_exit_with_3_and_the_reason(#[case] status: &str) {
    let path = temporary_file(&format!("refused-{}.json", &status[..3]), r#"{"generation":7}"#);
    let (address, server) = control(vec![answer(status, "", r#"{"error":"another version"}"#)]);
    let output = program()
        .args(["config", "patch", "--base", "5", "--control", &address.to_string()])
        .arg(&path)
        .output()
        .expect("run");
    server.join().expect("served");
    let error = error_of(&output);
    assert_eq!(code(&output), 3, "{error}");
    assert!(error.contains(&status[..3]) && error.contains("another version"), "{error}");
}

#[test]
fn retries_elsewhere_after_an_inconclusive_response() {
    let body = r#"{"generation":9}"#;
    let (first, at_first) = control(vec![answer("503 Service Unavailable", "", "")]);
    let (second, at_second) = control(vec![answer("200 OK", "", body)]);
    let output = program()
        .args(["config", "get", "--control", &first.to_string(), "--control", &second.to_string()])
        .output()
        .expect("run");
    assert_eq!(code(&output), 0, "{}", error_of(&output));
    assert_eq!(String::from_utf8_lossy(&output.stdout).trim(), body);
    assert_eq!(at_first.join().expect("served"), at_second.join().expect("served"));
}

#[test]
fn retire_waits_until_the_machine_is_empty() {
    let (address, server) = control(vec![
        answer("200 OK", "", "{}"),
        answer("200 OK", "", r#"{"state":"running"}"#),
        answer("200 OK", "", r#"{"state":"completed"}"#),
    ]);
    let output = program()
        .args(["retire", "storage-a-1", "--duration-s", "10", "--wait", "--control", &address.to_string()])
        .output()
        .expect("run");
    assert_eq!(code(&output), 0, "{}", error_of(&output));
    let calls = server.join().expect("served");
    assert_eq!(calls[0], r#"POST /retire/storage-a-1 HTTP/1.1 {"duration_s":10}"#);
    assert_eq!(calls[2], "GET /retire/storage-a-1 HTTP/1.1 ");
}
