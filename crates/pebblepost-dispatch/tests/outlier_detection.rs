//! For how long a worker is ejected, by what it did.

use pebblepost_dispatch::api::Time;
use pebblepost_dispatch::outlier_detection::OutlierDetector;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn at(seconds: f64) -> Time {
    Time(0) + SECOND.mul_f64(seconds)
}

#[test]
fn doubles_the_ejection_up_to_a_bound_and_forgives_by_served_jobs() {
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

/// Four workers of nine went on with one class and left the other lying; the 33 jobs that were sent to
/// them held their slots, by this node's books, until their clients gave up.
#[test]
fn ejects_only_the_class_whose_jobs_do_not_start() {
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
