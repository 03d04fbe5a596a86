//! Real dispatchers among simulated workers and clients, a few seconds each: faults must break no rule.

use pebblepost_harness::clients::Outcome;
use pebblepost_harness::dispatcher::build_program;
use pebblepost_harness::run::{Played, Run};
use pebblepost_harness::workload::spec::{HintSpec, MassRestart, RunSpec, ScheduledWorkerFault, WorkerFault};
use serde_json::json;

/// Plays all at the same time, each with workers of its own.
fn play(run_specs: &[RunSpec]) -> Vec<Played> {
    let (program, operator) = (build_program().expect("pebblepost builds"), json!({}));
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("threads");
    let runs = run_specs.iter().map(|run_spec| {
        let (program, operator) = (&program, &operator);
        async move { Run { run_spec, seed: 5, program, operator, supervisor: None }.play().await }
    });
    runtime.block_on(futures_util::future::try_join_all(runs)).expect("runs")
}

#[test]
fn faults_of_each_kind_break_no_rule_and_every_request_ends() {
    let at_worker = |at, worker, fault| ScheduledWorkerFault { at, worker, fault };
    let worker_faults = vec![
        at_worker(0.5, 0, WorkerFault::Drain(3.0)),
        at_worker(0.7, 1, WorkerFault::Restart(0.3)),
        at_worker(1.0, 2, WorkerFault::Silent(1.5)),
        at_worker(1.0, 3, WorkerFault::Errors { seconds: 2.0, share: 0.5 }),
    ];
    let run_spec = RunSpec { workers: 6, fault_rate: 0.0, worker_faults, ..RunSpec::mixed(5.0, 0.5) };
    let played = &play(&[run_spec])[0];
    assert_eq!(played.violations, []);
    assert_eq!(played.results.len(), played.plan.arrivals.len());
    let served = played.results.iter().filter(|f| matches!(f.outcome, Outcome::Served(_))).count();
    assert!(served * 2 > played.results.len(), "{served} of {}", played.results.len());
}

/// Requests that a killed dispatcher had accepted are lost, and no later ones.
#[test]
fn dispatchers_killed_at_once_start_again_though_discovery_is_rate_limited() {
    let run_spec = RunSpec {
        dispatchers: 4,
        workers: 6,
        fault_rate: 0.0,
        mass_restart: Some(MassRestart { at: 1.0, share: 0.75 }),
        discovery_rate: Some(1.0),
        worker_faults: vec![ScheduledWorkerFault { at: 0.2, worker: 0, fault: WorkerFault::Drain(3.0) }],
        ..RunSpec::mixed(4.0, 0.4)
    };
    let played = &play(&[run_spec])[0];
    assert_eq!(played.violations, []);
    assert_eq!(played.ready.len(), 4 + 3, "all were ready, and those that were killed once more");
    // At one call a second the first four are queued and some rejected, so that they are retried.
    assert!(played.discovery_calls > 4 + 3, "{} calls to discovery", played.discovery_calls);
    let last =
        played.plan.arrivals.iter().rposition(|arrival| arrival.dispatcher == 0).expect("the busiest one");
    let result = played.results.iter().find(|f| f.arrival == last).expect("it has ended");
    assert!(!matches!(result.outcome, Outcome::Lost), "{result:?} at a dispatcher that is back");
}

#[test]
fn wrong_hints_many_large_jobs_and_cancelled_requests_break_no_rule() {
    let base = RunSpec { workers: 6, fault_rate: 0.0, ..RunSpec::mixed(4.0, 0.6) };
    let wrong = |factor, share| RunSpec { hints: HintSpec { sent: true, factor, share }, ..base.clone() };
    let run_specs = [
        wrong(10.0, 1.0),
        wrong(0.1, 1.0),
        wrong(3.0, 0.3),
        wrong(1.0 / 3.0, 0.3),
        RunSpec { hints: HintSpec { sent: false, ..HintSpec::default() }, ..base.clone() },
        RunSpec { large_share: 0.5, large_slots: [0.3, 0.4, 0.3], ..base.clone() },
        RunSpec { cancel_share: 0.3, ..base.clone() },
    ];
    for (n, played) in play(&run_specs).iter().enumerate() {
        assert_eq!(played.violations, [], "scenario {n}");
        let lost = played.results.iter().filter(|f| f.outcome == Outcome::Lost).count();
        assert_eq!((lost, played.results.len()), (0, played.plan.arrivals.len()), "scenario {n}");
        let small = |f: &&pebblepost_harness::clients::RequestResult| !played.plan.arrivals[f.arrival].large;
        let served =
            |f: &&pebblepost_harness::clients::RequestResult| matches!(f.outcome, Outcome::Served(_));
        let (all, in_the_end) = (
            played.results.iter().filter(small).count(),
            played.results.iter().filter(small).filter(served).count(),
        );
        assert!(in_the_end * 4 > all, "small jobs keep a floor: {in_the_end} of {all}, scenario {n}");
    }
}
