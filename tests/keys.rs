//! The order that keys give workers, what is remembered of keys, and what a node learns of waits and shares.

use pebblewind::api::Time;
use pebblewind::keys::{Asked, Kept, first as first_of, place};
use pebblewind::means::{Shares, Waits};
use std::time::Duration;

fn first(key: u64, workers: &[(u64, f64)]) -> u64 {
    workers.iter().min_by_key(|(name, weight)| place(key, *name, *weight)).expect("a worker").0
}

/// permits-main: machines of 3 and of 5 cores came first for as many keys each, and the small ones filled up.
#[test]
fn a_worker_comes_first_for_as_much_as_it_weighs() {
    let workers = [(11, 3.0), (12, 5.0), (13, 1.0)];
    let count = |name| (1..=9000).filter(|key| first(*key, &workers) == name).count();
    for (name, weight) in workers {
        let (got, due) = (count(name) as f64, 1000.0 * weight);
        assert!((got - due).abs() < 0.1 * due, "{name}: {got} of {due}");
    }
}

#[test]
fn a_worker_that_leaves_moves_only_its_own_keys() {
    let all = [(1, 3.0), (2, 5.0), (3, 1.0), (4, 2.0)];
    let left = [all[0], all[2], all[3]];
    for key in 1..=500 {
        let before = first(key, &all);
        assert!(before == 2 || before == first(key, &left), "key {key}");
    }
}

#[test]
fn the_keys_of_a_worker_are_bounded_and_the_often_used_stay() {
    let mut kept = Kept::default();
    for key in 1..=1000 {
        kept.sent(key);
        kept.sent(1);
    }
    assert!(kept.has(1) && kept.has(1000) && kept.has(994));
    assert_eq!((1..=1000).filter(|key| kept.has(*key)).count(), 8);
    assert!(kept.has(0), "a job about nothing needs nothing");
}

#[test]
fn a_wait_seen_counts_for_less_as_it_ages_and_one_that_lasts_for_all_of_it() {
    let (mut waits, second) = (Waits::default(), Duration::from_secs(1));
    assert_eq!(waits.expected(Time(0) + second, Duration::ZERO), 0.0);
    waits.started(Time(0) + second, second / 2);
    let at = |seconds: u32, waiting| waits.expected(Time(0) + second * seconds, waiting);
    assert!((at(1, Duration::ZERO) - 0.5).abs() < 1e-9);
    assert!((0.1..0.3).contains(&at(2, Duration::ZERO)));
    assert_eq!(at(9, second), 1.0);
}

#[test]
fn who_sends_twice_its_share_is_over_it_twice() {
    let mut shares = Shares::new([0.25, 0.75].into_iter());
    assert_eq!((shares.over(0), shares.over(1)), (1.0, 1.0));
    (0..4000).for_each(|i| shares.count(i % 2));
    assert!((1.8..2.2).contains(&shares.over(0)) && (0.6..0.75).contains(&shares.over(1)));
    assert_eq!((shares.over(7), Shares::new(std::iter::empty()).over(0)), (1.0, 1.0), "none was agreed");
}

/// kumamoto-main: a key that drew a fifth of all jobs went to one worker of thirteen, and its jobs were refused.
/// permits-main: with three workers for each key, one a zone, each fetched what another had.
#[test]
fn a_key_has_as_many_workers_as_its_part_of_the_jobs_needs() {
    let mut asked = Asked::default();
    (0..2560).for_each(|i| asked.count(if i % 5 == 0 { 7 } else { 100 + i % 160 }));
    assert_eq!((asked.replicas(7, 13), asked.replicas(101, 13), asked.replicas(9999, 13)), (4, 1, 1));
    assert_eq!((asked.replicas(7, 1), asked.replicas(7, 0)), (1, 1));
    // What is no longer asked for goes back to one.
    (0..256).for_each(|i| asked.count(1000 + i));
    assert_eq!(asked.replicas(7, 13), 1);
    assert_eq!(first_of(0..5, 2, |w| 10 - *w as u64), vec![4, 3]);
}
