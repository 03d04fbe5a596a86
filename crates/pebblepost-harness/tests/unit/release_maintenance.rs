//! Tests of the detection of jobs at workers that are switched off.

use pebblepost_harness::checker::exits::DispatcherExit;
use pebblepost_harness::event_log::{AttemptEnd, Event};
use pebblepost_harness::release::maintenance::{
    MaintenanceWindow, find_work_during_maintenance, max_concurrent_windows,
};

#[test]
fn reports_jobs_that_arrive_at_or_continue_on_a_worker_that_is_off() {
    let text = str::to_owned;
    let arrived =
        |txn, worker| Event::AttemptArrived { txn: text(txn), key: text("k"), dispatcher: 0, worker };
    let attempt_ended = |txn, worker| Event::AttemptEnded { txn: text(txn), worker, end: AttemptEnd::Done };
    let responded = |txn| Event::Responded { txn: text(txn), status: 200, body: text("") };
    let off = |worker, from, to| MaintenanceWindow { worker, from, to, waited_s: 0.0 };
    let log = [
        (1.0, arrived("before", 1)),
        (1.5, attempt_ended("before", 1)),
        (1.6, responded("before")),
        (1.8, arrived("on", 1)),
        (2.5, arrived("new", 1)),
        (2.5, arrived("elsewhere", 2)),
        (2.7, attempt_ended("on", 1)),
        (2.8, responded("on")),
    ];
    let windows = [off(1, 2.0, 3.0), off(2, 3.0, 4.0)];
    let found = find_work_during_maintenance(&log, &windows, &[]);
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(found[0].contains("sent new to worker 1") && found[1].contains("on was served"));
    let killed = [DispatcherExit { dispatcher: 0, ended_at_s: 1.9, serving_again_at_s: 2.9, abrupt: true }];
    assert_eq!(
        find_work_during_maintenance(&log, &windows, &killed).len(),
        1,
        "a new job is not excused by the kill of its dispatcher"
    );
    assert_eq!(
        (max_concurrent_windows(&windows), max_concurrent_windows(&[off(1, 1.0, 3.0), off(2, 2.0, 4.0)])),
        (1, 2)
    );
}
