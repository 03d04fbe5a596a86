//! Tests of the summary of a run.

use pebblepost_harness::clients::{Outcome, RequestResult};
use pebblepost_harness::report::{summarize_group, wilson_interval};
use pebblepost_harness::workload::plan::Plan;
use pebblepost_harness::workload::spec::RunSpec;

#[test]
fn shares_count_requests_within_their_latency_target() {
    let mut plan = Plan::draw(&RunSpec::mixed(5.0, 0.65), 1).expect("a valid spec");
    plan.arrivals.truncate(3);
    plan.arrivals
        .iter_mut()
        .for_each(|arrival| (arrival.work, arrival.slots, arrival.large) = (0.2, 1, false));
    let result =
        |arrival, outcome| RequestResult { arrival, outcome, attempts: 1, first_rejection_after_s: None };
    let results =
        [result(0, Outcome::Served(0.9)), result(1, Outcome::Served(1.1)), result(2, Outcome::Rejected)];
    let group = summarize_group(&plan, &results, |arrival| !arrival.large);
    assert_eq!((group.requests, group.in_time, group.late, group.refused), (3, 1, 1, 1));
    assert!((group.work_in_time - 0.2).abs() < 1e-9);
}

#[test]
fn the_interval_is_the_wilson_score_interval() {
    let (low, high) = wilson_interval(90, 100);
    assert!((low - 0.826).abs() < 0.001 && (high - 0.945).abs() < 0.001, "{low} {high}");
    assert_eq!(wilson_interval(0, 0), (0.0, 1.0));
}
