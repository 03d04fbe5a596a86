//! The placement rule, subsets and priorities.

use pebblepost_batch_runner::execution::priority::priority;
use pebblepost_batch_runner::placement::choice::{Choice, ProbedLoad, QueueLimit, choose};
use pebblepost_batch_runner::placement::subset::{SubsetSize, rendezvous_hash, retain_subset};
use pebblepost_batch_runner::random::Random;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::below_threshold(6, 2, true)]
#[case::at_threshold(7, 1, false)]
#[case::too_few_free_slots(6, 3, false)]
fn accepts_a_group_without_another_probe_below_the_threshold(
    #[case] outstanding: u32, #[case] items: u32, #[case] accepts: bool,
) {
    assert_eq!(ProbedLoad { slots: 8, outstanding }.accepts(items), accepts);
}

#[rstest]
#[case::fewest_outstanding(&[7, 5], 2, QueueLimit::FreeSlotsOnly, Some((1, 2)))]
#[case::split(&[7, 6], 4, QueueLimit::FreeSlotsOnly, Some((1, 2)))]
#[case::full(&[8, 9], 1, QueueLimit::FreeSlotsOnly, None)]
#[case::queue(&[9, 8], 4, QueueLimit::PercentOfSlots(25), Some((1, 2)))]
#[case::queue_full(&[10, 12], 1, QueueLimit::PercentOfSlots(25), None)]
#[case::none_probed(&[], 1, QueueLimit::FreeSlotsOnly, None)]
fn chooses_the_fewest_outstanding_requests_up_to_capacity(
    #[case] outstanding: &[u32], #[case] items: u32, #[case] queue_limit: QueueLimit,
    #[case] expected: Option<(usize, u32)>,
) {
    let probed: Vec<ProbedLoad> =
        outstanding.iter().map(|outstanding| ProbedLoad { slots: 8, outstanding: *outstanding }).collect();
    let choice = choose(&probed, items, queue_limit, &Random::seeded(7));
    assert_eq!(choice, expected.map(|(index, items)| Choice { index, items }));
}

#[test]
fn breaks_ties_at_random() {
    let probed = [ProbedLoad { slots: 8, outstanding: 7 }; 2];
    let random = Random::seeded(7);
    let mut chosen = [0; 2];
    for _ in 0..100 {
        let choice = choose(&probed, 1, QueueLimit::FreeSlotsOnly, &random).unwrap();
        chosen[choice.index] += 1;
    }
    assert!(chosen.iter().all(|count| *count > 25), "{chosen:?}");
}

#[rstest]
#[case::idle(0, true)]
#[case::not_idle(1, false)]
fn only_an_idle_transcriber_accepts_a_group_larger_than_its_slots(
    #[case] outstanding: u32, #[case] accepts: bool,
) {
    assert_eq!(ProbedLoad { slots: 6, outstanding }.accepts(16), accepts);
    let choice = choose(
        &[ProbedLoad { slots: 6, outstanding: 0 }],
        16,
        QueueLimit::PercentOfSlots(34),
        &Random::seeded(7),
    );
    assert_eq!(choice, Some(Choice { index: 0, items: 9 }), "6 items run and 3 are queued");
}

#[rstest]
#[case::highest_rank(0, [5, 4, 3])]
#[case::other_rank(2, [8, 7, 6])]
fn priority_rises_as_items_become_due_and_falls_with_the_rank(#[case] rank: u32, #[case] expected: [u16; 3]) {
    let due_in = [Duration::from_secs(12), Duration::from_secs(5), Duration::from_secs(1)];
    assert_eq!(due_in.map(|due_in| priority(rank, due_in)), expected);
}

/// Proxies and transcribers are distributed over the zones in turn.
#[rstest]
#[case::many_zones(60, 48, 4)]
#[case::few_zones(57, 45, 3)]
#[case::few_machines(7, 9, 3)]
#[case::few_proxies(4, 40, 2)]
#[case::few_transcribers(40, 4, 2)]
fn every_transcriber_is_in_a_subset_and_none_in_over_three_times_the_mean(
    #[case] proxies: usize, #[case] transcribers: usize, #[case] zones: usize,
) {
    // The size of the subset of a request after three full rounds.
    let size = SubsetSize::new(transcribers, proxies).widened_after(3);
    let mut proxies_by_transcriber = vec![0; transcribers];
    for proxy in 0..proxies {
        let node = format!("edge-{proxy}");
        let is_remote = |transcriber: usize| transcriber % zones != proxy % zones;
        let mut order: Vec<usize> = (0..transcribers).collect();
        order.sort_by_key(|transcriber| {
            (is_remote(*transcriber), rendezvous_hash(&node, &format!("i-{transcriber}")))
        });
        retain_subset(&mut order, size, |transcriber| !is_remote(*transcriber));
        assert!(order.len() <= size.total);
        order.iter().for_each(|transcriber| proxies_by_transcriber[*transcriber] += 1);
    }
    let mean = proxies_by_transcriber.iter().sum::<usize>() as f64 / transcribers as f64;
    let max = proxies_by_transcriber.iter().max().map_or(0.0, |max| *max as f64);
    assert!(proxies_by_transcriber.iter().all(|count| *count > 0), "{proxies_by_transcriber:?}");
    assert!(max <= 3.0 * mean, "max={max} mean={mean}");
}
