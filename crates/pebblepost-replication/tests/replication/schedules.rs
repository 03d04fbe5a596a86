//! Many simulated schedules: no acknowledged entry is lost while failures stay within the tolerance.

use crate::simulation::{Options, Plan, run_all};
use rstest::rstest;

#[rstest]
#[case::three_random_1(3, 1, Plan::Random, 0, 1200)]
#[case::three_random_2(3, 1, Plan::Random, 1200, 1200)]
#[case::three_random_3(3, 1, Plan::Random, 2400, 1200)]
#[case::three_random_4(3, 1, Plan::Random, 3600, 1200)]
#[case::three_transitions_1(3, 1, Plan::Transitions, 0, 500)]
#[case::three_transitions_2(3, 1, Plan::Transitions, 500, 500)]
#[case::three_transitions_3(3, 1, Plan::Transitions, 1000, 500)]
#[case::three_transitions_4(3, 1, Plan::Transitions, 1500, 500)]
#[case::three_tolerated_1(3, 1, Plan::Tolerated, 0, 250)]
#[case::three_tolerated_2(3, 1, Plan::Tolerated, 250, 250)]
#[case::three_targets_1(3, 1, Plan::Targets, 0, 1000)]
#[case::three_second_loss_1(3, 1, Plan::SecondLoss, 0, 150)]
#[case::three_second_loss_2(3, 1, Plan::SecondLoss, 150, 150)]
#[case::three_stale_minority_1(3, 1, Plan::StaleMinority, 0, 300)]
#[case::three_stale_minority_2(3, 1, Plan::StaleMinority, 300, 300)]
#[case::five_second_loss_1(5, 2, Plan::SecondLoss, 0, 40)]
#[case::five_second_loss_2(5, 2, Plan::SecondLoss, 40, 40)]
#[case::five_stale_minority_1(5, 2, Plan::StaleMinority, 0, 80)]
#[case::five_random_1(5, 2, Plan::Random, 0, 300)]
#[case::five_random_2(5, 2, Plan::Random, 300, 300)]
#[case::five_random_3(5, 2, Plan::Random, 600, 300)]
#[case::five_random_4(5, 2, Plan::Random, 900, 300)]
#[case::five_transitions_1(5, 2, Plan::Transitions, 0, 100)]
#[case::five_transitions_2(5, 2, Plan::Transitions, 100, 100)]
#[case::five_transitions_3(5, 2, Plan::Transitions, 200, 100)]
#[case::five_transitions_4(5, 2, Plan::Transitions, 300, 100)]
#[case::five_tolerated_1(5, 2, Plan::Tolerated, 0, 50)]
#[case::five_tolerated_2(5, 2, Plan::Tolerated, 50, 50)]
#[case::five_tolerated_3(5, 2, Plan::Tolerated, 100, 50)]
#[case::five_targets_1(5, 2, Plan::Targets, 0, 300)]
#[case::five_targets_of_two_1(5, 1, Plan::Targets, 0, 300)]
fn simulated_schedules_violate_no_rule(
    #[case] machines: usize, #[case] tolerance: usize, #[case] plan: Plan, #[case] first_seed: u64,
    #[case] count: u64,
) {
    run_all(Options::new(machines, tolerance, plan), first_seed, count);
}
