//! Tests of the command line: exit codes, one-line error messages, and requests to the control plane.

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

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("not ended by a signal")
}

fn stderr_of(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("UTF-8")
}

fn temporary_file(name: &str, content: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("pebblepost-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, content).expect("writable");
    path
}

/// Starts a fake control node that sends the given responses, one per connection. Its thread returns the
/// requests that it received.
fn start_control_node(responses: Vec<String>) -> (SocketAddr, thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let server =
        thread::spawn(move || responses.into_iter().map(|response| serve(&listener, &response)).collect());
    (address, server)
}

/// Accepts one connection, reads its request and sends the response.
fn serve(listener: &TcpListener, response: &str) -> String {
    let (mut stream, _) = listener.accept().expect("a connection");
    let request = read_request(&stream);
    stream.write_all(response.as_bytes()).expect("written");
    request
}

/// Reads a request and formats its request line, the header `If-Match` and the body.
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

fn http_response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn help_lists_roles_variables_and_exit_codes() {
    let output = program().arg("--help").output().expect("the program starts");
    assert_eq!(exit_code(&output), 0);
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    for word in ["proxy", "agent", "control", "store", "status", "retire", SETTINGS_VARIABLE, "Exit codes"] {
        assert!(text.contains(word), "the help text lacks {word}: {text}");
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
    let output = program().args(arguments).output().expect("the program starts");
    assert_eq!(exit_code(&output), 2, "{}", stderr_of(&output));
}

#[rstest]
#[case::proxy("proxy")]
#[case::agent("agent")]
#[case::control("control")]
#[case::store("store")]
fn a_role_without_settings_exits_with_1_and_prints_one_line(#[case] role: &str) {
    let output = program().arg(role).output().expect("the program starts");
    assert_eq!(exit_code(&output), 1);
    let error = stderr_of(&output);
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(error.contains(SETTINGS_VARIABLE), "{error}");
}

#[test]
fn check_prints_ok() {
    let path = temporary_file("good.toml", SETTINGS);
    let output = program().arg("check").env(SETTINGS_VARIABLE, &path).output().expect("the program starts");
    assert_eq!(
        (exit_code(&output), output.stdout.as_slice()),
        (0, b"ok\n".as_slice()),
        "{}",
        stderr_of(&output)
    );
}

#[test]
fn check_prints_the_invalid_key_and_its_file_on_one_line() {
    let path = temporary_file("bad.toml", &SETTINGS.replace("[7300, 7315]", "\"many\""));
    let output = program().arg("check").env(SETTINGS_VARIABLE, &path).output().expect("the program starts");
    let error = stderr_of(&output);
    assert_eq!((exit_code(&output), error.lines().count()), (2, 1), "{error}");
    assert!(error.contains("port_range") && error.contains("bad.toml"), "{error}");
}

#[test]
fn put_sends_the_generation_in_force_as_if_match_and_follows_redirects() {
    let document = r#"{"generation":7}"#;
    let path = temporary_file("put.json", document);
    let (primary, at_primary) = start_control_node(vec![
        http_response("200 OK", "", r#"{"generation":5}"#),
        http_response("200 OK", "", "{}"),
    ]);
    let redirect =
        http_response("307 Temporary Redirect", &format!("Location: http://{primary}/config\r\n"), "");
    let (standby, at_standby) = start_control_node(vec![redirect.clone(), redirect]);
    let output = program()
        .args(["config", "put", "--control", &standby.to_string()])
        .arg(&path)
        .output()
        .expect("the program starts");
    assert_eq!(exit_code(&output), 0, "{}", stderr_of(&output));
    assert_eq!(at_standby.join().expect("the control node does not panic").len(), 2);
    let requests = at_primary.join().expect("the control node does not panic");
    assert_eq!(requests[0], "GET /config HTTP/1.1 ");
    assert_eq!(requests[1], format!("PUT /config HTTP/1.1 if-match 5 {document}"));
}

#[rstest]
#[case::other_version("412 Precondition Failed")]
#[case::conflict("409 Conflict")]
#[case::invalid("400 Bad Request")]
fn a_rejection_exits_with_3_and_prints_the_reason(#[case] status: &str) {
    let path = temporary_file(&format!("refused-{}.json", &status[..3]), r#"{"generation":7}"#);
    let (address, server) =
        start_control_node(vec![http_response(status, "", r#"{"error":"another version"}"#)]);
    let output = program()
        .args(["config", "patch", "--base", "5", "--control", &address.to_string()])
        .arg(&path)
        .output()
        .expect("the program starts");
    server.join().expect("the control node does not panic");
    let error = stderr_of(&output);
    assert_eq!(exit_code(&output), 3, "{error}");
    assert!(error.contains(&status[..3]) && error.contains("another version"), "{error}");
}

#[test]
fn retries_at_another_address_after_an_inconclusive_response() {
    let body = r#"{"generation":9}"#;
    let (first, at_first) = start_control_node(vec![http_response("503 Service Unavailable", "", "")]);
    let (second, at_second) = start_control_node(vec![http_response("200 OK", "", body)]);
    let output = program()
        .args(["config", "get", "--control", &first.to_string(), "--control", &second.to_string()])
        .output()
        .expect("the program starts");
    assert_eq!(exit_code(&output), 0, "{}", stderr_of(&output));
    assert_eq!(String::from_utf8_lossy(&output.stdout).trim(), body);
    assert_eq!(
        at_first.join().expect("the control node does not panic"),
        at_second.join().expect("the control node does not panic")
    );
}

#[test]
fn retire_waits_until_the_machine_is_empty() {
    let (address, server) = start_control_node(vec![
        http_response("200 OK", "", "{}"),
        http_response("200 OK", "", r#"{"state":"running"}"#),
        http_response("200 OK", "", r#"{"state":"completed"}"#),
    ]);
    let output = program()
        .args(["retire", "storage-a-1", "--duration-s", "10", "--wait", "--control", &address.to_string()])
        .output()
        .expect("the program starts");
    assert_eq!(exit_code(&output), 0, "{}", stderr_of(&output));
    let requests = server.join().expect("the control node does not panic");
    assert_eq!(requests[0], r#"POST /retire/storage-a-1 HTTP/1.1 {"duration_s":10}"#);
    assert_eq!(requests[2], "GET /retire/storage-a-1 HTTP/1.1 ");
}
