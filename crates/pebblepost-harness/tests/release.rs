//! Releases of real dispatchers by two drivers that are killed, while replicas and dispatchers fail. The test checks safety as
//! observed from outside. Times have generous bounds and are not checked.

use pebblepost_harness::dispatcher;
use pebblepost_harness::release::plan::{DisruptionBudget, Mode, Plan};
use pebblepost_harness::release::run::run_trial;

#[tokio::test(flavor = "multi_thread")]
async fn no_more_dispatchers_are_out_at_once_than_the_budget_allows_under_faults() {
    let program = dispatcher::build_program().expect("the program builds");
    let plan = Plan {
        dispatchers: 4,
        workers: 6,
        replicas: 3,
        budget: DisruptionBudget { total: 2, per_zone: 1 },
        worker_budget: 2,
        watch_s: 3.0,
        seconds: 30.0,
        seed: 3,
        faults: true,
        mode: Mode::Permits,
    };
    let (figures, found) = run_trial(&plan, &program).await.expect("all answer after all faults");
    assert!(
        figures.completed >= 1 && figures.completed + figures.rolled_back == figures.releases,
        "{found:#?} {figures:?}"
    );
    assert_eq!((figures.stuck_permits, figures.rules_broken), (0, 0), "{found:#?}");
    assert!(
        figures.max_out_dispatchers <= 2 && figures.max_out_in_zone <= 1 && figures.over_budget_ms == 0.0,
        "{found:#?}"
    );
    // A dispatcher that starts with a version other than the wanted one restarts again under the same grant.
    assert!(figures.grants >= 3 && figures.grants_to_workers >= figures.workers_off, "{figures:?}");
    assert_eq!(figures.grants_over_budget, 0, "{found:#?}");
    // Workers are also switched off, by one maintenance crew more than the budget admits. No job may arrive at a worker that is
    // off.
    assert!(figures.workers_off >= 3 && figures.max_out_workers <= 2, "{figures:?}");
    assert_eq!(figures.work_while_off, 0, "{found:#?}");
    assert!(figures.went >= 3, "only {} dispatchers exited on their own", figures.went);
}
