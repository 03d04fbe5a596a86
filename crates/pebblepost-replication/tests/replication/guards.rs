//! The checkers of the simulation detect every safety rule that is disabled.

use crate::simulation::{Options, Plan, first_violation};
use pebblepost_replication::guards::{RegisterGuards, ReplicaGuards};
use rstest::rstest;

/// Number of schedules within which a disabled rule must lead to a violation. Each case starts shortly
/// before the first seed that leads to one, so that all cases together take only seconds.
const MAX_SCHEDULES: u64 = 200;

fn with_replica_guards(plan: Plan, change: fn(&mut ReplicaGuards)) -> Options {
    let mut options = Options::new(3, 1, plan);
    change(&mut options.replica_guards);
    options
}

fn with_register_guards(change: fn(&mut RegisterGuards)) -> Options {
    let mut options = Options::new(3, 1, Plan::Transitions);
    change(&mut options.register_guards);
    options
}

fn with_reused_disk_identity(plan: Plan) -> Options {
    Options { wiped_machine_keeps_disk_identity: true, ..Options::new(3, 1, plan) }
}

fn without_commit_on_all_in_sync() -> Options {
    let mut options = Options::new(5, 2, Plan::SecondLoss);
    options.replica_guards.commit_requires_all_in_sync = false;
    options
}

#[rstest]
#[case::commit_requires_all_in_sync(with_replica_guards(Plan::Random, |guards| guards.commit_requires_all_in_sync = false), 0)]
#[case::commit_requires_pending_joiners(with_replica_guards(Plan::Transitions, |guards| guards.commit_requires_pending_joiners = false), 5150)]
#[case::requires_caught_up_joiner(with_replica_guards(Plan::Targets, |guards| guards.requires_caught_up_joiner = false), 3300)]
#[case::requires_lease(with_replica_guards(Plan::Random, |guards| guards.requires_lease = false), 0)]
#[case::waits_for_election_timeout(with_replica_guards(Plan::Random, |guards| guards.waits_for_election_timeout = false), 0)]
#[case::persists_before_ack(with_replica_guards(Plan::Random, |guards| guards.persists_before_ack = false), 150)]
#[case::requires_new_epoch_after_restart(with_replica_guards(Plan::Random, |guards| guards.requires_new_epoch_after_restart = false), 300)]
#[case::rejects_old_epochs(with_replica_guards(Plan::Random, |guards| guards.rejects_old_epochs = false), 0)]
#[case::requires_former_majority(with_register_guards(|guards| guards.requires_former_majority = false), 200)]
#[case::persists_before_reply(with_register_guards(|guards| guards.persists_before_reply = false), 0)]
#[case::completes_accepted(with_register_guards(|guards| guards.completes_accepted = false), 100)]
#[case::wiped_machine_keeps_disk_identity(with_reused_disk_identity(Plan::Tolerated), 0)]
#[case::second_loss_after_commit_on_too_few_replicas(without_commit_on_all_in_sync(), 0)]
#[case::second_loss_with_reused_disk_identity(with_reused_disk_identity(Plan::SecondLoss), 0)]
#[case::stale_minority_with_reused_disk_identity(with_reused_disk_identity(Plan::StaleMinority), 0)]
fn checkers_detect_a_disabled_safety_rule(#[case] options: Options, #[case] first_seed: u64) {
    let violation = first_violation(options, first_seed, MAX_SCHEDULES);
    assert!(violation.is_some(), "no violation in {MAX_SCHEDULES} schedules with {options:?}");
}
