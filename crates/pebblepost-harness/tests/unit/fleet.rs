//! Tests of the runs of the fleet command.

use pebblepost_harness::fleet::{FleetSize, run_specs};

#[test]
fn each_run_schedules_the_worker_faults_that_its_name_states() {
    let all = run_specs(FleetSize { dispatchers: 20, workers: 15, seconds: 20.0 });
    let fault_counts: Vec<usize> = all.iter().map(|(_, spec)| spec.worker_faults.len()).collect();
    assert_eq!(fault_counts, [3, 5, 18]);
    let (first_at, last_at) = (all[2].1.worker_faults[0].at, all[2].1.worker_faults[16].at);
    assert!(last_at - first_at <= 7.0, "all are replaced within 7 s: {first_at} to {last_at}");
}
