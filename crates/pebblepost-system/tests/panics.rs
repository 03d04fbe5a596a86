//! A panic in a task or thread ends the process and logs one line with the source location.

#[path = "../src/logging.rs"]
mod logging;

use std::process::{Command, Output};

/// Environment variable that is set in the child process. The test panics there.
const CHILD_VARIABLE: &str = "PEBBLEPOST_TEST_PANICS";
const PANIC_EXIT_CODE: i32 = 101;
/// Exit code of a child process that continued after the panic.
const CONTINUED_EXIT_CODE: i32 = 7;

/// Runs one test of this file in a child process.
fn run_as_child(test: &str) -> Output {
    let program = std::env::current_exe().expect("the test program has a path");
    Command::new(program)
        .args(["--exact", test, "--nocapture"])
        .env(CHILD_VARIABLE, "1")
        .output()
        .expect("it starts")
}

#[test]
fn a_panic_in_a_task_ends_the_process() {
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        logging::exit_on_panic(pebblepost_link::is_decoding);
        logging::init();
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let tasks = tokio::task::LocalSet::new();
        let outcome = tasks
            .block_on(&runtime, async { tokio::task::spawn_local(async { panic!("first\nsecond") }).await });
        assert!(outcome.is_err(), "the task panicked");
        std::process::exit(CONTINUED_EXIT_CODE);
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
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        logging::exit_on_panic(pebblepost_link::is_decoding);
        let _ = std::thread::spawn(|| panic!("on a thread")).join();
        std::process::exit(CONTINUED_EXIT_CODE);
    }
    let output = run_as_child("a_panic_in_a_thread_ends_the_process");
    assert_eq!(output.status.code(), Some(PANIC_EXIT_CODE), "{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn a_damaged_message_does_not_end_the_process() {
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        logging::exit_on_panic(pebblepost_link::is_decoding);
        let impossible_length = [0xff; 8];
        let message = pebblepost_link::decode::<Vec<u64>>(&impossible_length);
        std::process::exit(if message.is_err() { CONTINUED_EXIT_CODE } else { 0 });
    }
    let output = run_as_child("a_damaged_message_does_not_end_the_process");
    assert_eq!(
        output.status.code(),
        Some(CONTINUED_EXIT_CODE),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}
