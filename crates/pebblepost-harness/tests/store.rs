//! Three replicas as processes under faults. The tests check safety. Times have generous bounds and are not checked.

use pebblepost_harness::dispatcher;
use pebblepost_harness::fault::schedule::{DiskDamage, Fault, FaultKind, Schedule};
use pebblepost_harness::fault::tcp_relay::LinkState;
use pebblepost_harness::store::plan::Plan;
use pebblepost_harness::store::run::run_trial;

#[tokio::test(flavor = "multi_thread")]
async fn no_acknowledged_change_is_lost_and_no_read_is_stale_under_faults_of_three_replicas() {
    let program = dispatcher::build_program().expect("the program builds");
    let plan = Plan { replicas: 3, clients: 4, seconds: 20.0, seed: 2, pause_ms: 20, dispatchers: 2 };
    let schedule = plan.schedule();
    assert!(schedule.counts_by_name()["kill"] >= 8, "{:?}", schedule.counts_by_name());
    let (summary, found) =
        run_trial(&plan, &schedule, &program).await.expect("the group answers after all faults");
    assert!(summary.verdict.linearizable, "{found:#?}");
    let (verdict, figures) = (&summary.verdict, &summary);
    assert_eq!(
        (verdict.lost, verdict.stale_reads, figures.drains_forgotten, figures.rules_broken),
        (0, 0, 0, 0),
        "{found:#?}"
    );
    assert!(verdict.committed > 50, "only {} changes were acknowledged", verdict.committed);
    assert!(figures.served_share > Some(0.5), "served share under faults: {:?}", figures.served_share);
}

/// Builds a schedule of faults from their start times in seconds, durations in seconds and kinds.
fn schedule_of(faults: impl IntoIterator<Item = (f64, f64, FaultKind)>) -> Schedule {
    let one = |(number, (at, duration_s, kind))| Fault { number, begins_at_s: at, duration_s, kind };
    Schedule(faults.into_iter().enumerate().map(one).collect())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_replica_does_not_delay_the_quorum() {
    let program = dispatcher::build_program().expect("the program builds");
    let plan = Plan { replicas: 3, clients: 4, seconds: 12.0, seed: 3, pause_ms: 20, dispatchers: 0 };
    let late = LinkState::Delayed(1_500);
    let slow =
        [(0, 2), (1, 2), (2, 0), (2, 1)].map(|(from, to)| (0.0, 12.0, FaultKind::Link(from, to, late)));
    let (summary, found) = run_trial(&plan, &schedule_of(slow), &program).await.expect("the group answers");
    let verdict = &summary.verdict;
    assert_eq!((verdict.lost, verdict.stale_reads, verdict.linearizable), (0, 0, true), "{found:#?}");
    // If changes waited for the slow replica, each would take three seconds and the clients would make about twenty.
    assert!(verdict.committed > 200 && summary.write_p50_ms < 750.0, "{summary:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_and_damaged_disks_are_refused_and_replaced_while_the_cluster_serves() {
    let program = dispatcher::build_program().expect("the program builds");
    let plan = Plan { replicas: 3, clients: 4, seconds: 16.0, seed: 4, pause_ms: 20, dispatchers: 0 };
    let damaged = [
        (1.0, 1.0, FaultKind::Disk(0, DiskDamage::Deleted)),
        (6.0, 1.0, FaultKind::Disk(1, DiskDamage::Truncated)),
        (11.0, 1.0, FaultKind::Disk(2, DiskDamage::Deleted)),
    ];
    let (summary, found) =
        run_trial(&plan, &schedule_of(damaged), &program).await.expect("the group answers");
    let (verdict, figures) = (&summary.verdict, &summary);
    assert_eq!(
        (verdict.lost, verdict.stale_reads, figures.drains_forgotten, figures.rules_broken),
        (0, 0, 0, 0),
        "{found:#?}"
    );
    // All three disks that the cluster started with have been replaced.
    assert_eq!((figures.disks_replaced, figures.disks_refused), (3, 1), "{found:#?}");
    assert!(verdict.linearizable && verdict.committed > 50, "{found:#?}");
}
