//! What a node knows of keys, waits and shares, and what it holds against a worker.

use pebblepost_dispatch::affinity::{KeyPopularity, RecentKeys, first_by_rank, rank};
use pebblepost_dispatch::api::Time;
use pebblepost_dispatch::estimators::{QueueWait, TenantUsage};
use pebblepost_dispatch::outlier_detection::OutlierDetector;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn at(seconds: f64) -> Time {
    Time(0) + SECOND.mul_f64(seconds)
}

/// permits-main: machines of 3 and of 5 cores came first for as many keys each, and the small ones filled up.
#[test]
fn a_worker_comes_first_for_as_much_as_it_weighs_and_takes_no_others_keys_when_it_leaves() {
    let weights = [3.0, 5.0, 1.0];
    let first_of = |key, left: &[usize]| {
        first_by_rank(left.iter().copied(), 1, |w| rank(key, *w as u64 + 11, weights[*w]))[0]
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

#[test]
fn a_wait_seen_counts_for_less_as_it_ages_and_one_that_lasts_for_all_of_it() {
    let mut waits = QueueWait::default();
    assert_eq!(waits.expected(at(1.0), Duration::ZERO), 0.0);
    waits.record_start(at(1.0), SECOND / 2);
    assert!((waits.expected(at(1.0), Duration::ZERO) - 0.5).abs() < 1e-9);
    assert!((0.1..0.3).contains(&waits.expected(at(2.0), Duration::ZERO)));
    assert_eq!(waits.expected(at(9.0), SECOND), 1.0);
}

#[test]
fn who_sends_twice_its_share_is_over_it_twice() {
    let mut shares = TenantUsage::new([0.25, 0.75].into_iter());
    assert_eq!((shares.relative_usage(0), shares.relative_usage(1)), (1.0, 1.0));
    (0..4000).for_each(|i| shares.record(i % 2));
    assert!(
        (1.8..2.2).contains(&shares.relative_usage(0)) && (0.6..0.75).contains(&shares.relative_usage(1))
    );
    assert_eq!(
        (shares.relative_usage(7), TenantUsage::new(std::iter::empty()).relative_usage(0)),
        (1.0, 1.0),
        "none was agreed"
    );
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
    assert_eq!(first_by_rank(0..5, 2, |w| 10 - *w as u64), [4, 3]);
}

#[test]
fn bad_work_counts_double_each_time_up_to_a_bound_and_good_work_takes_it_back() {
    let mut detector = OutlierDetector::default();
    assert!(detector.is_healthy(at(1.0), 0));
    for times in [1.0, 2.0, 4.0, 8.0, 8.0] {
        detector.record_failed_job(at(1.0), SECOND);
        assert!(!detector.is_healthy(at(times + 0.5), 0) && detector.is_healthy(at(times + 1.0), 0));
    }
    (0..4).for_each(|_| detector.record_served_job());
    detector.record_failed_job(at(1.0), SECOND);
    assert!(detector.is_healthy(at(2.0), 0));
}

/// permits-main, wide: four workers of nine went on with one class and left the other lying; the 33 jobs that were sent to
/// them held their slots, by this node's books, until their clients gave up.
#[test]
fn a_class_left_lying_stays_away_and_no_other() {
    let mut detector = OutlierDetector::default();
    // Several that were sent before the first was missed count once.
    (0..5).for_each(|_| detector.record_missed_start(at(1.0), 1, at(1.0), SECOND));
    assert!(
        detector.is_healthy(at(1.0), 0)
            && !detector.is_healthy(at(1.5), 1)
            && detector.is_healthy(at(2.0), 1),
        "then one is tried"
    );
    detector.record_missed_start(at(2.0), 1, at(2.0), SECOND);
    assert!(!detector.is_healthy(at(3.0), 1) && detector.is_healthy(at(4.0), 1));
    detector.record_start(at(5.0), 1);
    detector.record_missed_start(at(5.0), 1, at(4.0), SECOND);
    assert!(detector.is_healthy(at(5.0), 1), "another, sent later, has started: the connection was lost");
    detector.record_missed_start(at(6.0), 1, at(6.0), SECOND);
    assert!(detector.is_healthy(at(7.0), 1), "a start makes up for all before");
}
