//! Ejection times of one worker after failed jobs and missed starts.

use pebblepost_dispatch::api::Time;
use pebblepost_dispatch::outlier_detection::OutlierDetector;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn at(seconds: f64) -> Time {
    Time(0) + SECOND.mul_f64(seconds)
}

#[test]
fn doubles_the_ejection_up_to_a_limit_and_shortens_it_by_served_jobs() {
    let mut detector = OutlierDetector::default();
    assert!(detector.is_healthy(at(1.0), 0));
    for ejection_s in [1.0, 2.0, 4.0, 8.0, 8.0] {
        detector.record_failed_job(at(1.0), SECOND);
        assert!(
            !detector.is_healthy(at(ejection_s + 0.5), 0) && detector.is_healthy(at(ejection_s + 1.0), 0),
            "expected an ejection of {ejection_s} s"
        );
    }
    (0..4).for_each(|_| detector.record_served_job());
    detector.record_failed_job(at(1.0), SECOND);
    assert!(detector.is_healthy(at(2.0), 0));
}

/// Guards against workers that hang on one class of jobs. Four workers of nine ran one class and never started the
/// other; the dispatcher counted 33 jobs as occupying their slots until the clients gave up.
#[test]
fn ejects_a_worker_only_for_the_class_whose_jobs_do_not_start() {
    let mut detector = OutlierDetector::default();
    // Missed starts of jobs sent before the first miss count as one failure.
    (0..5).for_each(|_| detector.record_missed_start(at(1.0), 1, at(1.0), SECOND));
    assert!(
        detector.is_healthy(at(1.0), 0)
            && !detector.is_healthy(at(1.5), 1)
            && detector.is_healthy(at(2.0), 1),
        "only class 1 is ejected, for 1 s"
    );
    detector.record_missed_start(at(2.0), 1, at(2.0), SECOND);
    assert!(!detector.is_healthy(at(3.0), 1) && detector.is_healthy(at(4.0), 1));
    detector.record_start(at(5.0), 1);
    detector.record_missed_start(at(5.0), 1, at(4.0), SECOND);
    assert!(detector.is_healthy(at(5.0), 1), "a job sent later has started, so only a connection was lost");
    detector.record_missed_start(at(6.0), 1, at(6.0), SECOND);
    assert!(detector.is_healthy(at(7.0), 1), "a start clears all earlier misses");
}
