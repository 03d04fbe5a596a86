//! Repeats of configuration changes: how many are recognized, across snapshots, restarts and new primaries, and what is
//! said of those that are too old.

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

/// Changes on the operators' busiest day.
const CHANGES_A_DAY: u64 = 13_000;
/// More changes than were remembered before this was built.
const MANY_CHANGES: u64 = 1_300;

fn change(generation: u64) -> ConfigurationChange {
    let body = configuration(generation, 10);
    ConfigurationChange { base: generation - 1, method: ChangeMethod::Replace, body }
}

/// A history of changes with these versions, one after the other.
fn history(generations: u64) -> ChangeHistory {
    let mut history = ChangeHistory::default();
    for generation in 1..=generations {
        history.record(&change(generation), generation);
    }
    history
}

/// A state to which the changes up to a version were applied.
fn state(generations: u64) -> ControlState {
    let mut state = ControlState::default();
    for generation in 1..=generations {
        state.apply(generation, &Command::ChangeConfiguration(change(generation)).encode());
    }
    assert_eq!(state.generation(), generations);
    state
}

#[rstest]
fn changes_of_more_than_two_days_are_recognized() {
    let generations = 2 * CHANGES_A_DAY;
    let history = history(generations);
    for generation in 1..=generations {
        assert_eq!(history.lookup(&change(generation)), ChangeLookup::Accepted { generation });
    }
}

#[rstest]
fn a_change_older_than_the_history_is_neither_accepted_nor_rejected() {
    let generations = MAX_RECORDED_CHANGES as u64 + 1;
    let history = history(generations);
    let is_forgotten = |generation: &u64| history.lookup(&change(*generation)) == ChangeLookup::Evicted;
    let forgotten = (1..=generations).filter(is_forgotten).count();
    assert_eq!(forgotten, MAX_RECORDED_CHANGES / 8);
    assert_eq!(history.lookup(&change(generations)), ChangeLookup::Accepted { generation: generations });
}

#[rstest]
fn another_change_on_a_remembered_version_was_never_accepted() {
    let history = history(5);
    let other = ConfigurationChange { body: configuration(3, 11), ..change(3) };
    assert_eq!(history.lookup(&other), ChangeLookup::NotAccepted);
    let ahead = ConfigurationChange { base: 9, ..change(3) };
    assert_eq!(history.lookup(&ahead), ChangeLookup::NotAccepted);
}

#[rstest]
fn the_history_takes_under_a_megabyte_in_a_snapshot() {
    let before = state(1).snapshot().len();
    let after = state(2).snapshot().len();
    assert_eq!(after - before, BYTES_PER_CHANGE, "the documents are of equal length");
    const { assert!(MAX_RECORDED_CHANGES * BYTES_PER_CHANGE < 1024 * 1024, "at most a megabyte") };
}

#[rstest]
fn a_state_that_has_forgotten_a_change_says_so() {
    let mut state = state(3);
    // A snapshot of a build that kept fewer changes: the first two are cut out of it.
    let snapshot = without_oldest_changes(&state.snapshot(), 2);
    state.restore(&snapshot);
    assert!(!state.is_damaged());
    assert_eq!(state.accepted_generation(&change(3)), Some(3));
    let forgotten = state.validate(&change(2)).expect_err("the change is too old");
    assert_eq!(forgotten, ChangeError::HistoryEvicted { base: 1 });
    assert_eq!(HttpResponse::change_rejected(&forgotten).status, 503);
    let outdated = ConfigurationChange { body: configuration(7, 10), ..change(3) };
    let rejected = state.validate(&outdated).expect_err("version 3 is current");
    assert_eq!(rejected, ChangeError::VersionMismatch { current: 3 });
}

/// The snapshot begins with the document (a tag, its length, its bytes); the number of changes and the changes follow.
fn without_oldest_changes(snapshot: &[u8], dropped: usize) -> Vec<u8> {
    let number = |at: usize| u64::from_le_bytes(snapshot[at..at + 8].try_into().expect("eight bytes"));
    let length = usize::try_from(number(1)).expect("a short document");
    let count_at = 1 + 8 + length;
    let changes_at = count_at + 8;
    let mut cut = snapshot[..count_at].to_vec();
    cut.extend_from_slice(&(number(count_at) - dropped as u64).to_le_bytes());
    cut.extend_from_slice(&snapshot[changes_at + dropped * BYTES_PER_CHANGE..]);
    cut
}

#[rstest]
fn no_repeat_of_many_changes_is_rejected_after_a_kill_of_all() {
    let mut cluster = Cluster::acting();
    let put = |generation: u64| {
        let change = change(generation);
        http_request("PUT", "/config", Some(change.base), change.body)
    };
    let primary = cluster.primary();
    for generation in 1..=MANY_CHANGES {
        let response = cluster.request(primary, put(generation)).expect("a response");
        assert_eq!(response.status, 200, "version {generation}");
    }
    cluster.checkpoint_disks();
    (0..cluster.machines()).for_each(|machine| cluster.kill(machine));
    cluster.run(Duration::from_millis(500));
    (0..cluster.machines()).for_each(|machine| cluster.start(machine));
    cluster.run_until_acting();
    let primary = cluster.primary();
    for generation in 1..=MANY_CHANGES {
        let response = cluster.request(primary, put(generation)).expect("a response");
        assert_eq!(response.status, 200, "the repeat of version {generation}");
    }
    assert_eq!(cluster.node(primary).state().generation(), MANY_CHANGES);
}
