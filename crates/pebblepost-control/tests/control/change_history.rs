//! Repeats of configuration changes: how many the history recognizes, that it survives snapshots, restarts and a new
//! primary, and how a repeat is answered that is older than the history.

use crate::support::cluster::Cluster;
use crate::support::documents::configuration;
use crate::support::http_request;
use pebblepost_control::api::HttpResponse;
use pebblepost_control::state::command::{ChangeError, ChangeMethod, Command, ConfigurationChange};
use pebblepost_control::state::{
    BYTES_PER_CHANGE, ChangeHistory, ChangeLookup, ControlState, MAX_RECORDED_CHANGES,
};
use pebblepost_replication::replica::StateMachine;
use rstest::rstest;
use std::time::Duration;

/// Number of configuration changes on the operators' busiest day.
const MAX_CHANGES_PER_DAY: u64 = 13_000;
/// Number of changes that are repeated after the restart. An earlier, shorter history did not record as many.
const REPEATED_CHANGES: u64 = 1_300;

fn change(generation: u64) -> ConfigurationChange {
    let body = configuration(generation, 10);
    ConfigurationChange { base: generation - 1, method: ChangeMethod::Replace, body }
}

/// Returns a history of consecutive changes to the versions 1 to `generations`.
fn history(generations: u64) -> ChangeHistory {
    let mut history = ChangeHistory::default();
    for generation in 1..=generations {
        history.record(&change(generation), generation);
    }
    history
}

/// Returns a state to which the changes to the versions 1 to `generations` were applied.
fn state(generations: u64) -> ControlState {
    let mut state = ControlState::default();
    for generation in 1..=generations {
        state.apply(generation, &Command::ChangeConfiguration(change(generation)).encode());
    }
    assert_eq!(state.generation(), generations);
    state
}

#[rstest]
fn repeats_of_changes_from_the_last_two_days_are_recognized() {
    let generations = 2 * MAX_CHANGES_PER_DAY;
    let history = history(generations);
    for generation in 1..=generations {
        assert_eq!(history.lookup(&change(generation)), ChangeLookup::Accepted { generation });
    }
}

#[rstest]
fn change_older_than_the_history_is_looked_up_as_evicted() {
    let generations = MAX_RECORDED_CHANGES as u64 + 1;
    let history = history(generations);
    let is_evicted = |generation: &u64| history.lookup(&change(*generation)) == ChangeLookup::Evicted;
    let evicted_count = (1..=generations).filter(is_evicted).count();
    assert_eq!(evicted_count, MAX_RECORDED_CHANGES / 8);
    assert_eq!(history.lookup(&change(generations)), ChangeLookup::Accepted { generation: generations });
}

#[rstest]
fn different_change_on_a_recorded_base_version_is_not_accepted() {
    let history = history(5);
    let other = ConfigurationChange { body: configuration(3, 11), ..change(3) };
    assert_eq!(history.lookup(&other), ChangeLookup::NotAccepted);
    let on_later_base = ConfigurationChange { base: 9, ..change(3) };
    assert_eq!(history.lookup(&on_later_base), ChangeLookup::NotAccepted);
}

#[rstest]
fn full_history_takes_less_than_one_mebibyte_in_a_snapshot() {
    let before = state(1).snapshot().len();
    let after = state(2).snapshot().len();
    assert_eq!(
        after - before,
        BYTES_PER_CHANGE,
        "both documents have the same length, so the snapshots differ by one recorded change"
    );
    const { assert!(MAX_RECORDED_CHANGES * BYTES_PER_CHANGE < 1024 * 1024, "the history takes less than 1 MiB") };
}

#[rstest]
fn repeat_of_an_evicted_change_is_answered_503() {
    let mut state = state(3);
    // A snapshot as a build with a shorter history writes it: the oldest two changes are removed.
    let snapshot = without_oldest_changes(&state.snapshot(), 2);
    state.restore(&snapshot);
    assert!(!state.is_damaged());
    assert_eq!(state.accepted_generation(&change(3)), Some(3));
    let evicted = state.validate(&change(2)).expect_err("the change is older than the history");
    assert_eq!(evicted, ChangeError::HistoryEvicted { base: 1 });
    assert_eq!(HttpResponse::change_rejected(&evicted).status, 503);
    let outdated = ConfigurationChange { body: configuration(7, 10), ..change(3) };
    let rejected = state.validate(&outdated).expect_err("version 3 is current");
    assert_eq!(rejected, ChangeError::VersionMismatch { current: 3 });
}

/// Removes the oldest changes from a snapshot. It begins with the document (a tag, its length, its bytes); the number
/// of changes and the changes follow.
fn without_oldest_changes(snapshot: &[u8], dropped: usize) -> Vec<u8> {
    let read_u64 = |at: usize| u64::from_le_bytes(snapshot[at..at + 8].try_into().expect("eight bytes"));
    let length = usize::try_from(read_u64(1)).expect("the length fits usize");
    let count_at = 1 + 8 + length;
    let changes_at = count_at + 8;
    let mut cut = snapshot[..count_at].to_vec();
    cut.extend_from_slice(&(read_u64(count_at) - dropped as u64).to_le_bytes());
    cut.extend_from_slice(&snapshot[changes_at + dropped * BYTES_PER_CHANGE..]);
    cut
}

#[rstest]
fn repeats_are_recognized_after_all_processes_restart_from_snapshots() {
    let mut cluster = Cluster::with_primary();
    let put = |generation: u64| {
        let change = change(generation);
        http_request("PUT", "/config", Some(change.base), change.body)
    };
    let primary = cluster.primary();
    for generation in 1..=REPEATED_CHANGES {
        let response = cluster.request(primary, put(generation)).expect("a response");
        assert_eq!(response.status, 200, "version {generation}");
    }
    cluster.checkpoint_disks();
    (0..cluster.machine_count()).for_each(|machine| cluster.kill(machine));
    cluster.run(Duration::from_millis(500));
    (0..cluster.machine_count()).for_each(|machine| cluster.start(machine));
    cluster.run_until_primary_acts();
    let primary = cluster.primary();
    for generation in 1..=REPEATED_CHANGES {
        let response = cluster.request(primary, put(generation)).expect("a response");
        assert_eq!(response.status, 200, "the repeat of version {generation}");
    }
    assert_eq!(cluster.node(primary).state().generation(), REPEATED_CHANGES);
}
