//! What is held against a worker, and for how long.

use pebblewind::api::Time;
use pebblewind::health::Health;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn bad_work_counts_double_each_time_up_to_a_bound_and_good_work_takes_it_back() {
    let (mut h, start) = (Health::default(), Time(0) + SECOND);
    assert!(h.sound(start, 0));
    for times in [1, 2, 4, 8, 8] {
        h.struck(start, SECOND);
        assert!(!h.sound(start + SECOND * times - SECOND / 2, 0) && h.sound(start + SECOND * times, 0));
    }
    (0..4).for_each(|_| h.served());
    h.struck(start, SECOND);
    assert!(h.sound(start + SECOND, 0));
}

/// permits-main, wide: four workers of nine went on with one class and left the other lying; the 33 jobs that were sent to
/// them held their slots, by this node's books, until their clients gave up.
#[test]
fn a_class_left_lying_stays_away_and_no_other() {
    let (mut h, start) = (Health::default(), Time(0) + SECOND);
    // Several that were sent before the first was missed count once.
    (0..5).for_each(|_| h.left_lying(start, 1, start, SECOND));
    assert!(h.sound(start, 0) && !h.sound(start + SECOND / 2, 1));
    assert!(h.sound(start + SECOND, 1), "then one is tried");
    h.left_lying(start + SECOND, 1, start + SECOND, SECOND);
    assert!(!h.sound(start + SECOND * 2, 1) && h.sound(start + SECOND * 3, 1));
    h.started(start + SECOND * 4, 1);
    h.left_lying(start + SECOND * 4, 1, start + SECOND * 3, SECOND);
    assert!(h.sound(start + SECOND * 4, 1), "another started since: the connection was lost");
    h.left_lying(start + SECOND * 5, 1, start + SECOND * 5, SECOND);
    assert!(h.sound(start + SECOND * 6, 1), "a start makes up for all before");
}
