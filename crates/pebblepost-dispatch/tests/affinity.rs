//! Where jobs of one key go, and what a node knows of keys.

use pebblepost_dispatch::affinity::{KeyPopularity, RecentKeys, first_by_rank, rank};

/// Machines of 3 and of 5 cores came first for as many keys each, and the small ones filled up.
#[test]
fn ranks_workers_by_weight_and_moves_only_the_keys_of_one_that_leaves() {
    let weights = [3.0, 5.0, 1.0];
    let first_of = |key, left: &[usize]| {
        first_by_rank(left.iter().copied(), 1, |worker| rank(key, *worker as u64 + 11, weights[*worker]))[0]
    };
    let mut got = [0.0; 3];
    for key in 1..=9000 {
        let before = first_of(key, &[0, 1, 2]);
        got[before] += 1.0;
        assert!(before == 1 || before == first_of(key, &[0, 2]), "key {key}");
    }
    assert!(got.iter().zip(weights).all(|(got, weight)| (got / weight - 1000.0).abs() < 100.0), "{got:?}");
}

#[test]
fn keeps_a_bounded_number_of_keys_and_the_most_used_ones() {
    let mut recent = RecentKeys::default();
    (1..=1000).for_each(|key| [key, 1].map(|key| recent.record(key)).into_iter().collect());
    assert!(
        [0, 1, 994, 1000].iter().all(|key| recent.contains(*key)),
        "a job about nothing, 0, needs nothing"
    );
    assert_eq!((1..=1000).filter(|key| recent.contains(*key)).count(), 8);
}

/// A key that drew a fifth of all jobs went to one worker of thirteen, and its jobs were refused.
/// With three workers for each key, one a zone, each fetched what another had.
#[test]
fn replicates_a_key_by_its_fraction_of_the_jobs() {
    let mut popularity = KeyPopularity::default();
    (0..2560).for_each(|i| popularity.record(if i % 5 == 0 { 7 } else { 100 + i % 160 }));
    let among = [(7, 13), (101, 13), (9999, 13), (7, 1), (7, 0)];
    assert_eq!(among.map(|(key, workers)| popularity.workers_per_key(key, workers)), [4, 1, 1, 1, 1]);
    (0..256).for_each(|i| popularity.record(1000 + i));
    assert_eq!(popularity.workers_per_key(7, 13), 1, "no longer asked for, it goes back to one");
    assert_eq!(first_by_rank(0..5, 2, |worker| 10 - *worker as u64), [4, 3]);
}
