//! Three keepers as processes, faults between them, and the judgement. What is judged is safety; how long anything takes
//! is bounded generously and not judged.

use pebblepost_rig::dispatcher;
use pebblepost_rig::store::run::{Plan, run, schedule};

#[tokio::test(flavor = "multi_thread")]
async fn nothing_acknowledged_is_lost_and_no_read_is_old_whatever_happens_between_three_keepers() {
    let program = dispatcher::built().expect("the program builds");
    let plan = Plan { keepers: 3, desks: 4, seconds: 20.0, seed: 2, pause_ms: 20 };
    let schedule = schedule(&plan);
    assert!(schedule.kinds()["kill"] >= 8, "{:?}", schedule.kinds());
    let (summary, found) = run(&plan, &schedule, &program).await.expect("the group answers after all faults");
    assert!(summary.verdict.linearizable, "{found:#?}");
    let (v, s) = (&summary.verdict, &summary);
    assert_eq!((v.lost, v.stale_reads, s.drains_forgotten, s.rules_broken), (0, 0, 0, 0), "{found:#?}");
    assert!(v.committed > 50, "only {} changes were acknowledged", v.committed);
}
