//! Ranking of workers for a key, the keys remembered per worker, and the popularity of keys.

use pebblepost_dispatch::affinity::{KeyPopularity, RecentKeys, first_by_rank, rank};

/// Guards against ranking that ignores weights: machines of 3 and of 5 cores came first for equally many keys,
/// and the small machines filled up.
#[test]
fn ranks_workers_in_proportion_to_weight_and_moves_only_keys_of_a_removed_worker() {
    let weights = [3.0, 5.0, 1.0];
    let first_worker = |key, workers: &[usize]| {
        first_by_rank(workers.iter().copied(), 1, |worker| rank(key, *worker as u64 + 11, weights[*worker]))
            [0]
    };
    let mut keys_per_worker = [0.0; 3];
    for key in 1..=9000 {
        let before = first_worker(key, &[0, 1, 2]);
        keys_per_worker[before] += 1.0;
        assert!(
            before == 1 || before == first_worker(key, &[0, 2]),
            "key {key} moved from worker {before} although only worker 1 was removed"
        );
    }
    assert!(
        keys_per_worker.iter().zip(weights).all(|(keys, weight)| (keys / weight - 1000.0).abs() < 100.0),
        "keys per worker {keys_per_worker:?} for the weights {weights:?}"
    );
}

#[test]
fn remembers_a_bounded_number_of_most_recently_used_keys() {
    let mut recent = RecentKeys::default();
    (1..=1000).for_each(|key| [key, 1].map(|key| recent.record(key)).into_iter().collect());
    assert!(
        [0, 1, 994, 1000].iter().all(|key| recent.contains(*key)),
        "recently used keys are remembered, and a job without a key (0) needs nothing cached"
    );
    assert_eq!((1..=1000).filter(|key| recent.contains(*key)).count(), 8);
}

/// Guards against a fixed number of workers per key. With one, a key of a fifth of all jobs went to one worker of
/// thirteen, which refused its jobs. With three, one in each zone, each worker fetched what another had cached.
#[test]
fn assigns_workers_to_a_key_in_proportion_to_its_popularity() {
    let mut popularity = KeyPopularity::default();
    (0..2560).for_each(|i| popularity.record(if i % 5 == 0 { 7 } else { 100 + i % 160 }));
    let keys_and_workers = [(7, 13), (101, 13), (9999, 13), (7, 1), (7, 0)];
    assert_eq!(
        keys_and_workers.map(|(key, workers)| popularity.workers_per_key(key, workers)),
        [4, 1, 1, 1, 1]
    );
    (0..256).for_each(|i| popularity.record(1000 + i));
    assert_eq!(popularity.workers_per_key(7, 13), 1, "a key without recent jobs has one worker");
    assert_eq!(first_by_rank(0..5, 2, |worker| 10 - *worker as u64), [4, 3]);
}
