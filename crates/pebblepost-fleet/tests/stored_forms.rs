//! Pins the bytes of every form that is stored or sent: what an earlier build wrote can be read, and the same
//! bytes are written again. The files under `tests/stored` must not be edited to follow the code.

use pebblepost_fleet::fencing::FencingGuard;
use pebblepost_fleet::follower::Follower;
use pebblepost_fleet::heartbeat::HeartbeatReport;
use pebblepost_fleet::leader::{DrainStatus, IncarnationRequests};
use pebblepost_fleet::simulation::SimulatedWave;
use pebblepost_fleet::value::Value;
use pebblepost_fleet::{Change, Command, CommandResult, Key, Snapshot, State};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::PathBuf;

fn path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/stored").join(file)
}

fn stored(file: &str) -> String {
    std::fs::read_to_string(path(file)).unwrap_or_else(|error| panic!("{file}: {error}"))
}

fn written<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("serializes to JSON")
}

fn read<T: DeserializeOwned>(line: &str) -> T {
    serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"))
}

/// Checks that each of the `count` lines of a file is read and written again with the same bytes.
fn assert_matches_stored_bytes<T: Serialize + DeserializeOwned>(file: &str, count: usize) {
    let text = stored(file);
    assert_eq!(text.lines().count(), count, "{file}");
    for line in text.lines() {
        assert_eq!(written(&read::<T>(line)), line, "{file}");
    }
}

/// Checks a file of line pairs: the form of an earlier version, and the form that is written for it now.
fn assert_reads_earlier_form<T: Serialize + DeserializeOwned>(file: &str) {
    let text = stored(file);
    let lines: Vec<&str> = text.lines().collect();
    for pair in lines.chunks(2) {
        assert_eq!(written(&read::<T>(pair[0])), pair[1], "{file}");
    }
}

#[test]
fn commands_and_results_match_the_stored_bytes() {
    assert_matches_stored_bytes::<Command>("commands.jsonl", 15);
    assert_matches_stored_bytes::<CommandResult>("answers.jsonl", 7);
    assert_reads_earlier_form::<Command>("earlier_commands.jsonl");
}

#[test]
fn values_changes_and_keys_match_the_stored_bytes() {
    assert_matches_stored_bytes::<Value>("values.jsonl", 15);
    assert_matches_stored_bytes::<Change>("changes.jsonl", 1);
    assert_matches_stored_bytes::<Key>("keys.jsonl", 10);
    assert_reads_earlier_form::<Value>("earlier_values.jsonl");
}

#[test]
fn heartbeats_and_leader_reports_match_the_stored_bytes() {
    assert_matches_stored_bytes::<HeartbeatReport>("heartbeats.jsonl", 2);
    assert_reads_earlier_form::<HeartbeatReport>("earlier_heartbeats.jsonl");
    assert_matches_stored_bytes::<DrainStatus>("drain_confirmations.jsonl", 2);
    assert_matches_stored_bytes::<IncarnationRequests>("request_counts.jsonl", 1);
}

#[test]
fn followers_fencing_guards_and_simulated_waves_match_the_stored_bytes() {
    assert_matches_stored_bytes::<Follower>("followers.jsonl", 1);
    assert_matches_stored_bytes::<FencingGuard>("fences.jsonl", 1);
    assert_matches_stored_bytes::<SimulatedWave>("waves.jsonl", 1);
}

#[test]
fn unknown_fields_are_rejected_in_commands_and_accepted_in_heartbeats() {
    let rejected = [
        r#"{"id":[1,2],"by":"op","at_ms":17,"act":{"admit":{"keeper":4,"disk":77}},"more":1}"#,
        r#"{"id":[1,2],"by":"op","at_ms":17,"act":{"admit":{"keeper":4,"disk":77,"more":1}}}"#,
        r#"{"id":[1,2],"by":"op","at_ms":17,"act":{"change":{"ops":[{"ask":{"subject":"worker/w","more":1}}]}}}"#,
        r#"{"id":[1,2],"by":"op","at_ms":17,"act":{"change":{"ops":[{"know":["w",{"more":1}]}]}}}"#,
        r#"{"id":[1,2],"by":"op","at_ms":17,"act":{"change":{"ops":[{"budget":["worker",{"most":{"count":1},"more":1}]}]}}}"#,
        r#"{"id":[1,2],"by":"op","at_ms":17,"act":{"change":{"ops":[],"expect":[{"key":"drain/w","revision":1,"more":1}]}}}"#,
        r#"{"id":[1,2],"by":"d","at_ms":1,"act":{"join":{"member":"d","life":[3,4],"card":{"role":"keeper","more":1}}}}"#,
    ];
    for line in rejected {
        assert!(serde_json::from_str::<Command>(line).is_err(), "{line}");
    }
    let accepted = r#"{"acts_by":1,"busy":[],"counts":{"answered":0,"served":0,"more":1},"more":1}"#;
    assert!(
        serde_json::from_str::<HeartbeatReport>(accepted).is_ok(),
        "heartbeats of later versions can be read"
    );
}

/// Checks the results of a scripted run, its whole state as in a Raft snapshot, and the backup of the state.
#[test]
fn a_scripted_run_gives_the_same_results_state_and_backup() {
    let mut state = State::default();
    state.register_replicas([(2, 5)]);
    let mut answers = String::new();
    for line in stored("run.jsonl").lines() {
        answers.push_str(&written(&state.apply(&read::<Command>(line))));
        answers.push('\n');
    }
    assert_eq!(answers, stored("run_answers.jsonl"));
    let text = stored("run_state.json");
    assert_eq!(written(&state), text.trim_end());
    assert_eq!(written(&read::<State>(text.trim_end())), text.trim_end());
    let backup = stored("run_backup.json");
    assert_eq!(
        serde_json::to_string_pretty(&state.snapshot()).expect("serializes to JSON"),
        backup.trim_end()
    );
    assert_eq!(read::<Snapshot>(&backup), state.snapshot());
}
