//! A panic anywhere ends the process, with one line that names the source location.

#[path = "../src/logging.rs"]
mod logging;

use std::process::{Command, Output};

/// Set in the child process, which panics.
const CHILD: &str = "PEBBLEPOST_TEST_PANICS";
const PANIC_EXIT_CODE: i32 = 101;
/// Exit code of a child that continued after the panic.
const CONTINUED: i32 = 7;

/// Runs one test of this file in a process of its own.
fn run_as_child(test: &str) -> Output {
    let program = std::env::current_exe().expect("the test program has a path");
    Command::new(program).args(["--exact", test, "--nocapture"]).env(CHILD, "1").output().expect("it starts")
}

#[test]
fn a_panic_in_a_task_ends_the_process() {
    if std::env::var_os(CHILD).is_some() {
        logging::exit_on_panic(pebblepost_link::is_decoding);
        logging::start();
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let tasks = tokio::task::LocalSet::new();
        let outcome = tasks
            .block_on(&runtime, async { tokio::task::spawn_local(async { panic!("first\nsecond") }).await });
        assert!(outcome.is_err(), "the task panicked");
        std::process::exit(CONTINUED);
    }
    let output = run_as_child("a_panic_in_a_task_ends_the_process");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(PANIC_EXIT_CODE), "{stderr}");
    let lines: Vec<&str> = stderr.lines().filter(|line| line.contains("panicked at")).collect();
    assert_eq!(lines.len(), 1, "{stderr}");
    assert!(lines[0].starts_with("ERROR system: panicked at "), "{stderr}");
    assert!(lines[0].contains("panics.rs:") && lines[0].ends_with("first second"), "{stderr}");
}

#[test]
fn a_panic_in_a_thread_ends_the_process() {
    if std::env::var_os(CHILD).is_some() {
        logging::exit_on_panic(pebblepost_link::is_decoding);
        let _ = std::thread::spawn(|| panic!("on a thread")).join();
        std::process::exit(CONTINUED);
    }
    let output = run_as_child("a_panic_in_a_thread_ends_the_process");
    assert_eq!(output.status.code(), Some(PANIC_EXIT_CODE), "{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn a_damaged_message_does_not_end_the_process() {
    if std::env::var_os(CHILD).is_some() {
        logging::exit_on_panic(pebblepost_link::is_decoding);
        let impossible_length = [0xff; 8];
        let message = pebblepost_link::decode::<Vec<u64>>(&impossible_length);
        std::process::exit(if message.is_err() { CONTINUED } else { 0 });
    }
    let output = run_as_child("a_damaged_message_does_not_end_the_process");
    assert_eq!(output.status.code(), Some(CONTINUED), "{}", String::from_utf8_lossy(&output.stderr));
}
