//! Each safety guard taken out: the checkers of the simulation notice.

use crate::simulation::{Options, Plan, first_violation};
use pebblepost_replication::guards::{RegisterGuards, ReplicaGuards};
use rstest::rstest;

/// Schedules within which a missing guard must show. Each case starts shortly before the first
/// seed that shows it, so that the whole takes seconds.
const MAX_SCHEDULES: u64 = 200;

fn without_replica(plan: Plan, change: fn(&mut ReplicaGuards)) -> Options {
    let mut options = Options::new(3, 1, plan);
    change(&mut options.replica_guards);
    options
}

fn without_register(change: fn(&mut RegisterGuards)) -> Options {
    let mut options = Options::new(3, 1, Plan::Transitions);
    change(&mut options.register_guards);
    options
}

fn with_kept_identity(plan: Plan) -> Options {
    Options { wiped_disk_keeps_identity: true, ..Options::new(3, 1, plan) }
}

fn without_commit_on_all() -> Options {
    let mut options = Options::new(5, 2, Plan::SecondLoss);
    options.replica_guards.commit_waits_for_all = false;
    options
}

#[rstest]
#[case::commit_waits_for_all(without_replica(Plan::Random, |guards| guards.commit_waits_for_all = false), 0)]
#[case::commit_waits_for_joiner(without_replica(Plan::Transitions, |guards| guards.commit_waits_for_joiner = false), 5150)]
#[case::joiner_is_caught_up(without_replica(Plan::Targets, |guards| guards.joiner_is_caught_up = false), 3300)]
#[case::lease(without_replica(Plan::Random, |guards| guards.lease = false), 0)]
#[case::election_timeout(without_replica(Plan::Random, |guards| guards.election_timeout = false), 0)]
#[case::persisted_before_ack(without_replica(Plan::Random, |guards| guards.persisted_before_ack = false), 150)]
#[case::new_epoch_after_restart(without_replica(Plan::Random, |guards| guards.new_epoch_after_restart = false), 300)]
#[case::old_epochs_rejected(without_replica(Plan::Random, |guards| guards.old_epochs_rejected = false), 0)]
#[case::former_majority(without_register(|guards| guards.former_majority = false), 200)]
#[case::persisted_before_reply(without_register(|guards| guards.persisted_before_reply = false), 0)]
#[case::completes_accepted(without_register(|guards| guards.completes_accepted = false), 100)]
#[case::wiped_disk_keeps_identity(with_kept_identity(Plan::Tolerated), 0)]
#[case::second_loss_after_a_commit_on_too_few(without_commit_on_all(), 0)]
#[case::second_loss_with_an_old_identity(with_kept_identity(Plan::SecondLoss), 0)]
#[case::behind_with_an_old_identity(with_kept_identity(Plan::StaleMinority), 0)]
fn a_missing_guard_shows(#[case] options: Options, #[case] first_seed: u64) {
    let violation = first_violation(options, first_seed, MAX_SCHEDULES);
    assert!(violation.is_some(), "no schedule of {MAX_SCHEDULES} shows a violation with {options:?}");
}
