//! Runs of a few seconds with real dispatchers and simulated workers and clients: faults must not cause a violation of a rule.

use pebblepost_harness::clients::Outcome;
use pebblepost_harness::dispatcher::build_program;
use pebblepost_harness::run::{Run, RunResult};
use pebblepost_harness::workload::spec::{HintSpec, MassRestart, RunSpec, ScheduledWorkerFault, WorkerFault};
use serde_json::json;

/// Executes all runs concurrently, each with its own workers.
fn execute_all(run_specs: &[RunSpec]) -> Vec<RunResult> {
    let (program, operator) = (build_program().expect("pebblepost builds"), json!({}));
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let runs = run_specs.iter().map(|run_spec| {
        let (program, operator) = (&program, &operator);
        async move { Run { run_spec, seed: 5, program, operator, supervisor: None }.execute().await }
    });
    runtime.block_on(futures_util::future::try_join_all(runs)).expect("runs")
}

#[test]
fn faults_of_each_kind_cause_no_violation_and_every_request_ends() {
    let at_worker = |at, worker, fault| ScheduledWorkerFault { at, worker, fault };
    let worker_faults = vec![
        at_worker(0.5, 0, WorkerFault::Drain(3.0)),
        at_worker(0.7, 1, WorkerFault::Restart(0.3)),
        at_worker(1.0, 2, WorkerFault::Silent(1.5)),
        at_worker(1.0, 3, WorkerFault::Errors { seconds: 2.0, share: 0.5 }),
    ];
    let run_spec = RunSpec { workers: 6, fault_rate: 0.0, worker_faults, ..RunSpec::mixed(5.0, 0.5) };
    let run_result = &execute_all(&[run_spec])[0];
    assert_eq!(run_result.violations, []);
    assert_eq!(run_result.results.len(), run_result.plan.arrivals.len());
    let served = run_result.results.iter().filter(|f| matches!(f.outcome, Outcome::Served(_))).count();
    assert!(served * 2 > run_result.results.len(), "{served} of {}", run_result.results.len());
}

/// Only requests that a killed dispatcher had accepted may be lost, but no later ones.
#[test]
fn dispatchers_killed_at_once_become_ready_again_while_discovery_is_rate_limited() {
    let run_spec = RunSpec {
        dispatchers: 4,
        workers: 6,
        fault_rate: 0.0,
        mass_restart: Some(MassRestart { at: 1.0, share: 0.75 }),
        discovery_rate: Some(1.0),
        worker_faults: vec![ScheduledWorkerFault { at: 0.2, worker: 0, fault: WorkerFault::Drain(3.0) }],
        ..RunSpec::mixed(4.0, 0.4)
    };
    let run_result = &execute_all(&[run_spec])[0];
    assert_eq!(run_result.violations, []);
    assert_eq!(
        run_result.startup_times.len(),
        4 + 3,
        "four first starts, and a restart of the three that were killed"
    );
    // Discovery answers one call per second and queues calls for at most 2 s, so some of the first four calls are rejected and
    // retried.
    assert!(run_result.discovery_calls > 4 + 3, "{} calls to discovery", run_result.discovery_calls);
    let last = run_result
        .plan
        .arrivals
        .iter()
        .rposition(|arrival| arrival.dispatcher == 0)
        .expect("dispatcher 0 gets the largest share of the requests");
    let result = run_result.results.iter().find(|f| f.arrival == last).expect("every request has a result");
    assert!(!matches!(result.outcome, Outcome::Lost), "{result:?} at a dispatcher that has been restarted");
}

#[test]
fn wrong_hints_many_large_jobs_and_cancelled_requests_cause_no_violation() {
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
    for (n, run_result) in execute_all(&run_specs).iter().enumerate() {
        assert_eq!(run_result.violations, [], "scenario {n}");
        let lost = run_result.results.iter().filter(|f| f.outcome == Outcome::Lost).count();
        assert_eq!((lost, run_result.results.len()), (0, run_result.plan.arrivals.len()), "scenario {n}");
        let small =
            |f: &&pebblepost_harness::clients::RequestResult| !run_result.plan.arrivals[f.arrival].large;
        let served =
            |f: &&pebblepost_harness::clients::RequestResult| matches!(f.outcome, Outcome::Served(_));
        let (all, served_small) = (
            run_result.results.iter().filter(small).count(),
            run_result.results.iter().filter(small).filter(served).count(),
        );
        assert!(
            served_small * 4 > all,
            "more than a quarter of the small jobs must be served: {served_small} of {all}, scenario {n}"
        );
    }
}
