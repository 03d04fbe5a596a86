//! Many simulated schedules: nothing acknowledged is lost, whatever fails within what is borne.

mod simulation;

use rstest::rstest;
use simulation::{Options, Plan, play_all};

#[rstest]
#[case::three_wild_1(3, 1, Plan::Wild, 0, 1_500)]
#[case::three_wild_2(3, 1, Plan::Wild, 1_500, 1_500)]
#[case::three_wild_3(3, 1, Plan::Wild, 3_000, 1_500)]
#[case::three_ambush_1(3, 1, Plan::Ambush, 0, 1_000)]
#[case::three_ambush_2(3, 1, Plan::Ambush, 1_000, 1_000)]
#[case::three_borne(3, 1, Plan::Borne, 0, 500)]
#[case::three_targets(3, 1, Plan::Targets, 0, 1_000)]
#[case::five_wild_1(5, 2, Plan::Wild, 0, 600)]
#[case::five_wild_2(5, 2, Plan::Wild, 600, 600)]
#[case::five_ambush(5, 2, Plan::Ambush, 0, 400)]
#[case::five_borne(5, 2, Plan::Borne, 0, 150)]
#[case::five_targets(5, 2, Plan::Targets, 0, 300)]
#[case::five_targets_of_two(5, 1, Plan::Targets, 0, 300)]
fn schedules_break_nothing(
    #[case] machines: usize, #[case] tolerance: usize, #[case] plan: Plan, #[case] first_seed: u64,
    #[case] count: u64,
) {
    play_all(Options::new(machines, tolerance, plan), first_seed, count);
}
