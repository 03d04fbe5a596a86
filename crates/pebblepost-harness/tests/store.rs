//! Three keepers as processes, faults between them, and the judgement. What is judged is safety; how long anything takes
//! is bounded generously and not judged.

use pebblepost_harness::dispatcher;
use pebblepost_harness::fault::schedule::{DiskDamage, Fault, FaultKind, Schedule};
use pebblepost_harness::fault::tcp_relay::LinkState;
use pebblepost_harness::store::plan::Plan;
use pebblepost_harness::store::run::run;

#[tokio::test(flavor = "multi_thread")]
async fn nothing_acknowledged_is_lost_and_no_read_is_old_whatever_happens_between_three_keepers() {
    let program = dispatcher::build_program().expect("the program builds");
    let plan = Plan { replicas: 3, clients: 4, seconds: 20.0, seed: 2, pause_ms: 20, dispatchers: 2 };
    let schedule = plan.schedule();
    assert!(schedule.counts_by_name()["kill"] >= 8, "{:?}", schedule.counts_by_name());
    let (summary, found) = run(&plan, &schedule, &program).await.expect("the group answers after all faults");
    assert!(summary.verdict.linearizable, "{found:#?}");
    let (verdict, figures) = (&summary.verdict, &summary);
    assert_eq!(
        (verdict.lost, verdict.stale_reads, figures.drains_forgotten, figures.rules_broken),
        (0, 0, 0, 0),
        "{found:#?}"
    );
    assert!(verdict.committed > 50, "only {} changes were acknowledged", verdict.committed);
    assert!(figures.served_share > Some(0.5), "served {:?} meanwhile", figures.served_share);
}

/// A schedule of these, each from its second on for so long.
fn faults(all: impl IntoIterator<Item = (f64, f64, FaultKind)>) -> Schedule {
    let one = |(number, (at, duration_s, kind))| Fault { number, begins_at_s: at, duration_s, kind };
    Schedule(all.into_iter().enumerate().map(one).collect())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keeper_that_answers_in_seconds_does_not_hold_up_the_rest() {
    let program = dispatcher::build_program().expect("the program builds");
    let plan = Plan { replicas: 3, clients: 4, seconds: 12.0, seed: 3, pause_ms: 20, dispatchers: 0 };
    let late = LinkState::Delayed(1_500);
    let slow =
        [(0, 2), (1, 2), (2, 0), (2, 1)].map(|(from, to)| (0.0, 12.0, FaultKind::Link(from, to, late)));
    let (summary, found) = run(&plan, &faults(slow), &program).await.expect("the group answers");
    let verdict = &summary.verdict;
    assert_eq!((verdict.lost, verdict.stale_reads, verdict.linearizable), (0, 0, true), "{found:#?}");
    // At the pace of the slow one a change would take three seconds, and the desks would come to some twenty.
    assert!(verdict.committed > 200 && summary.write_p50_ms < 750.0, "{summary:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn disks_that_are_lost_or_damaged_are_named_and_replaced_while_the_group_goes_on() {
    let program = dispatcher::build_program().expect("the program builds");
    let plan = Plan { replicas: 3, clients: 4, seconds: 16.0, seed: 4, pause_ms: 20, dispatchers: 0 };
    let spoilt = [
        (1.0, 1.0, FaultKind::Disk(0, DiskDamage::Deleted)),
        (6.0, 1.0, FaultKind::Disk(1, DiskDamage::Truncated)),
        (11.0, 1.0, FaultKind::Disk(2, DiskDamage::Deleted)),
    ];
    let (summary, found) = run(&plan, &faults(spoilt), &program).await.expect("the group answers");
    let (verdict, figures) = (&summary.verdict, &summary);
    assert_eq!(
        (verdict.lost, verdict.stale_reads, figures.drains_forgotten, figures.rules_broken),
        (0, 0, 0, 0),
        "{found:#?}"
    );
    // None of the three disks that the group began with is left.
    assert_eq!((figures.disks_replaced, figures.disks_refused), (3, 1), "{found:#?}");
    assert!(verdict.linearizable && verdict.committed > 50, "{found:#?}");
}
