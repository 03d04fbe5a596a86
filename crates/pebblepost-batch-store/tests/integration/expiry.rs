//! Expiry of items by their age: never early, and in time, whichever machines restart.
//!
//! `SCHEDULES=N` in the environment runs N seeds.

use crate::simulation::client::{Request, job};
use crate::simulation::deployment::{Deployment, DeploymentPlan};
use pebblepost_messages::batch::{Job, STORE_GROUPS, store_group_of};
use rand::RngExt;
use rstest::rstest;

const PLAN: DeploymentPlan =
    DeploymentPlan { seed: 0, machines: 3, proxies: 1, tolerated_losses: 1, max_bytes: u64::MAX };
/// Time after which pending items may be given up, in milliseconds.
const QUEUE_TTL_MS: u64 = 40_000;
/// Time without any job; longer than [`QUEUE_TTL_MS`].
const QUIET_MS: u64 = 45_000;
/// Time within which a machine catches up after a fault, in milliseconds.
const CATCH_UP_MS: u64 = 4_500;
/// Promised limit of the time by which each fault delays the expiry of an item: the interval of time stamps, and the
/// time that the group has no primary after the machine is back.
const MAX_DELAY_PER_FAULT_MS: u64 = 1_000 + CATCH_UP_MS;
/// Time within which expired items are listed, in milliseconds.
const MAX_LISTING_DELAY_MS: u64 = 1_000;

/// Starts a deployment whose proxy takes no work, so that every item stays pending until it expires.
fn start_idle_deployment(seed: u64) -> Deployment {
    let mut deployment = Deployment::new(DeploymentPlan { seed, ..PLAN });
    deployment.proxies.iter_mut().for_each(|proxy| proxy.requests_no_work = true);
    deployment.run(2_000);
    deployment
}

/// Returns a job for each store group.
fn jobs_of_all_groups(deployment: &Deployment) -> Vec<Job> {
    let job_of = |group: u32| {
        let ids = (0..).map(|number| format!("lot-{}-{number}", deployment.now));
        let id = ids.into_iter().find(|id| store_group_of(id) == group).expect("an id of the group");
        let mut job = job(&id, 2, 2);
        job.terms.queue_ttl_ms = QUEUE_TTL_MS;
        job
    };
    (0..STORE_GROUPS).map(job_of).collect()
}

/// Submits a job to each store group and returns their ids.
fn submit_to_all_groups(deployment: &mut Deployment) -> Vec<String> {
    let jobs = jobs_of_all_groups(deployment);
    let ids = jobs.iter().map(|job| job.id.clone()).collect();
    for job in jobs {
        deployment.call(0, Request::Submit(Box::new(job)));
    }
    deployment.run(500);
    assert!(deployment.are_all_calls_answered());
    ids
}

/// Restarts a machine after a quiet time and submits jobs to the group that it leads again, and to all others. Returns
/// the deployment and the ids of the jobs.
fn submit_after_quiet_restart(machine: usize, quiet_ms: u64) -> (Deployment, Vec<String>) {
    let mut deployment = start_idle_deployment(machine as u64);
    deployment.run(quiet_ms);
    deployment.kill(machine, 300);
    deployment.run(4_000);
    let ids = submit_to_all_groups(&mut deployment);
    (deployment, ids)
}

/// Reads the results of jobs. The checker reports items that were given up early.
fn read_results(deployment: &mut Deployment, ids: &[String]) {
    for id in ids {
        let start = deployment.checker.read_result_count(id) as u64;
        deployment.call(0, Request::Read { job: id.clone(), start, wait_ms: 0 });
    }
    deployment.run(20);
}

/// Reads the results of jobs again and again until a point in time.
fn read_results_until(deployment: &mut Deployment, ids: &[String], until: u64) {
    while deployment.now < until {
        read_results(deployment, ids);
        deployment.run(480);
    }
}

/// Checks that all items are listed as given up within `max_delay_ms` of their expiry.
fn check_expiry_in_time(deployment: &mut Deployment, ids: &[String], max_delay_ms: u64) {
    let latest = ids.iter().map(|id| deployment.checker.submitted_at(id)).max().expect("a job");
    read_results_until(deployment, ids, latest + QUEUE_TTL_MS + max_delay_ms + MAX_LISTING_DELAY_MS);
    for id in ids {
        let listed = deployment.checker.read_result_count(id);
        assert_eq!(listed, 4, "seed {}: items of {id} were not given up in time", deployment.seed());
    }
}

/// Guards against: items given up seconds after their submission, because a machine that restarted in a quiet time
/// stamped its entries with a time far behind the clocks of the others (`docs/incidents/items-given-up-early.md`).
#[rstest]
fn items_accepted_by_a_restarted_primary_do_not_expire_early_at_its_successor() {
    for restarted in 0..3 {
        let (mut deployment, ids) = submit_after_quiet_restart(restarted, QUIET_MS);
        deployment.kill(restarted, 2_800);
        let until = deployment.now + 20_000;
        read_results_until(&mut deployment, &ids, until);
        assert_eq!(deployment.checker.violations, [""; 0], "machine {restarted}");
        check_expiry_in_time(&mut deployment, &ids, 2 * MAX_DELAY_PER_FAULT_MS);
        assert_eq!(deployment.checker.violations, [""; 0], "machine {restarted}");
    }
}

/// Guards against: jobs deleted seconds after their end, for the same reason.
#[rstest]
fn jobs_accepted_by_a_restarted_primary_are_retained_by_its_successor() {
    /// Longer than the retention period of a job that has ended.
    const LONG_QUIET_MS: u64 = 140_000;
    for restarted in 0..3 {
        let (mut deployment, ids) = submit_after_quiet_restart(restarted, LONG_QUIET_MS);
        for id in &ids {
            deployment.call(0, Request::End { job: id.clone() });
        }
        deployment.run(500);
        deployment.kill(restarted, 2_800);
        let until = deployment.now + 20_000;
        read_results_until(&mut deployment, &ids, until);
        assert_eq!(deployment.checker.violations, [""; 0], "machine {restarted}");
    }
}

/// Guards against: items that are given up late or never, because a restart of all machines loses the time since the
/// last entry of the group.
#[rstest]
fn items_of_a_quiet_group_expire_in_time_although_all_machines_restart() {
    const RESTARTS: u64 = 2;
    let mut deployment = start_idle_deployment(10);
    let ids = submit_to_all_groups(&mut deployment);
    for _ in 0..RESTARTS {
        deployment.run(15_000);
        (0..3).for_each(|machine| deployment.kill(machine, 300));
    }
    check_expiry_in_time(&mut deployment, &ids, RESTARTS * MAX_DELAY_PER_FAULT_MS);
    assert_eq!(deployment.checker.violations, [""; 0]);
}

/// Guards against: the same under any order of restarts, freezes, partitions and shutdowns in quiet and busy times.
#[rstest]
fn items_expire_neither_early_nor_late_under_faults() {
    for seed in 960_000..960_000 + seeds() {
        let mut deployment = start_idle_deployment(seed);
        let mut ids = Vec::new();
        let mut faults = 0;
        for _ in 0..6 {
            let pause_ms = deployment.random.random_range(100..20_000);
            deployment.run(pause_ms);
            inject_fault(&mut deployment);
            faults += 1;
            deployment.run(CATCH_UP_MS);
            ids.extend(submit_to_all_groups(&mut deployment));
            read_results(&mut deployment, &ids);
        }
        check_expiry_in_time(&mut deployment, &ids, faults * MAX_DELAY_PER_FAULT_MS);
        assert_eq!(deployment.checker.violations, [""; 0], "seed {seed}");
    }
}

/// Injects a random fault into a random machine and waits until it is over.
fn inject_fault(deployment: &mut Deployment) {
    let machine = deployment.random.random_range(0..3);
    let away_ms = deployment.random.random_range(100..3_000);
    match deployment.random.random_range(0..4) {
        0 => deployment.kill(machine, away_ms),
        1 => deployment.freeze(machine, away_ms),
        2 => deployment.partition(machine, away_ms),
        _ => {
            deployment.shut_down(machine);
            deployment.run(1_000);
            deployment.kill(machine, away_ms);
        }
    }
    deployment.run(away_ms);
}

/// Returns the number of seeds to run.
fn seeds() -> u64 {
    const DEFAULT_SEEDS: u64 = 8;
    std::env::var("SCHEDULES").ok().and_then(|number| number.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}
