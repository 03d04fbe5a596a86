//! The runs of the fleet command.

use pebblepost_harness::fleet::{Size, run_specs};

#[test]
fn each_run_has_the_faults_of_its_name() {
    let all = run_specs(Size { dispatchers: 20, workers: 15, seconds: 20.0 });
    let hit: Vec<usize> = all.iter().map(|(_, spec)| spec.worker_faults.len()).collect();
    assert_eq!(hit, [3, 5, 18]);
    let (begin, end) = (all[2].1.worker_faults[0].at, all[2].1.worker_faults[16].at);
    assert!(end - begin <= 7.0, "all are replaced within 7 s: {begin} to {end}");
}
