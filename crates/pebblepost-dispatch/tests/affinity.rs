//! Where jobs of one key go, and what a node knows of keys.

use pebblepost_dispatch::affinity::{KeyPopularity, RecentKeys, first_by_rank, rank};

/// permits-main: machines of 3 and of 5 cores came first for as many keys each, and the small ones filled up.
#[test]
fn a_worker_comes_first_for_as_much_as_it_weighs_and_takes_no_others_keys_when_it_leaves() {
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
fn the_keys_of_a_worker_are_bounded_and_the_often_used_stay() {
    let mut recent = RecentKeys::default();
    (1..=1000).for_each(|key| [key, 1].map(|key| recent.record(key)).into_iter().collect());
    assert!(
        [0, 1, 994, 1000].iter().all(|key| recent.contains(*key)),
        "a job about nothing, 0, needs nothing"
    );
    assert_eq!((1..=1000).filter(|key| recent.contains(*key)).count(), 8);
}

/// kumamoto-main: a key that drew a fifth of all jobs went to one worker of thirteen, and its jobs were refused.
/// permits-main: with three workers for each key, one a zone, each fetched what another had.
#[test]
fn a_key_has_as_many_workers_as_its_part_of_the_jobs_needs() {
    let mut popularity = KeyPopularity::default();
    (0..2560).for_each(|i| popularity.record(if i % 5 == 0 { 7 } else { 100 + i % 160 }));
    let among = [(7, 13), (101, 13), (9999, 13), (7, 1), (7, 0)];
    assert_eq!(among.map(|(key, workers)| popularity.replicas(key, workers)), [4, 1, 1, 1, 1]);
    (0..256).for_each(|i| popularity.record(1000 + i));
    assert_eq!(popularity.replicas(7, 13), 1, "no longer asked for, it goes back to one");
    assert_eq!(first_by_rank(0..5, 2, |worker| 10 - *worker as u64), [4, 3]);
}
