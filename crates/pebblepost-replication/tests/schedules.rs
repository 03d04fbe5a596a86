//! Many simulated schedules: nothing acknowledged is lost, whatever fails within what is borne.

mod simulation;

use rstest::rstest;
use simulation::{Options, Plan, play_all};

#[rstest]
#[case::three_wild_1(3, 1, Plan::Wild, 0, 1200)]
#[case::three_wild_2(3, 1, Plan::Wild, 1200, 1200)]
#[case::three_wild_3(3, 1, Plan::Wild, 2400, 1200)]
#[case::three_wild_4(3, 1, Plan::Wild, 3600, 1200)]
#[case::three_ambush_1(3, 1, Plan::Ambush, 0, 500)]
#[case::three_ambush_2(3, 1, Plan::Ambush, 500, 500)]
#[case::three_ambush_3(3, 1, Plan::Ambush, 1000, 500)]
#[case::three_ambush_4(3, 1, Plan::Ambush, 1500, 500)]
#[case::three_borne_1(3, 1, Plan::Borne, 0, 250)]
#[case::three_borne_2(3, 1, Plan::Borne, 250, 250)]
#[case::three_targets_1(3, 1, Plan::Targets, 0, 1000)]
#[case::three_second_loss_1(3, 1, Plan::SecondLoss, 0, 150)]
#[case::three_second_loss_2(3, 1, Plan::SecondLoss, 150, 150)]
#[case::three_behind_1(3, 1, Plan::Behind, 0, 300)]
#[case::three_behind_2(3, 1, Plan::Behind, 300, 300)]
#[case::five_second_loss_1(5, 2, Plan::SecondLoss, 0, 40)]
#[case::five_second_loss_2(5, 2, Plan::SecondLoss, 40, 40)]
#[case::five_behind_1(5, 2, Plan::Behind, 0, 80)]
#[case::five_wild_1(5, 2, Plan::Wild, 0, 300)]
#[case::five_wild_2(5, 2, Plan::Wild, 300, 300)]
#[case::five_wild_3(5, 2, Plan::Wild, 600, 300)]
#[case::five_wild_4(5, 2, Plan::Wild, 900, 300)]
#[case::five_ambush_1(5, 2, Plan::Ambush, 0, 100)]
#[case::five_ambush_2(5, 2, Plan::Ambush, 100, 100)]
#[case::five_ambush_3(5, 2, Plan::Ambush, 200, 100)]
#[case::five_ambush_4(5, 2, Plan::Ambush, 300, 100)]
#[case::five_borne_1(5, 2, Plan::Borne, 0, 50)]
#[case::five_borne_2(5, 2, Plan::Borne, 50, 50)]
#[case::five_borne_3(5, 2, Plan::Borne, 100, 50)]
#[case::five_targets_1(5, 2, Plan::Targets, 0, 300)]
#[case::five_targets_of_two_1(5, 1, Plan::Targets, 0, 300)]
fn schedules_break_nothing(
    #[case] machines: usize, #[case] tolerance: usize, #[case] plan: Plan, #[case] first_seed: u64,
    #[case] count: u64,
) {
    play_all(Options::new(machines, tolerance, plan), first_seed, count);
}
