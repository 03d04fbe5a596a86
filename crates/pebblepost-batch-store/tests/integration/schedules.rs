//! Random schedules of faults in a simulated deployment. Jobs that were acknowledged and results that were read must
//! survive all faults within the tolerance.
//!
//! `SCHEDULES=N` in the environment runs N seeds for each case.

use crate::approval::approve;
use crate::simulation::client::{Request, job};
use crate::simulation::deployment::{Deployment, DeploymentPlan};
use crate::simulation::digest::Digest;
use rand::RngExt;
use rstest::rstest;

const PLAN: DeploymentPlan =
    DeploymentPlan { seed: 0, machines: 3, proxies: 2, tolerated_losses: 1, max_bytes: u64::MAX };
/// Time within which a machine catches up after a fault, in milliseconds.
const CATCH_UP_MS: u64 = 4_500;

/// A fault that is injected into a machine.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Wipe,
    Freeze,
    Partition,
    ReassignGroups,
    ShutDown,
}

const ALL_FAULTS: [Fault; 6] =
    [Fault::Kill, Fault::Wipe, Fault::Freeze, Fault::Partition, Fault::ReassignGroups, Fault::ShutDown];

/// Injects one of the faults into a machine. Returns for how long the machine is unavailable, in milliseconds.
fn inject_fault(deployment: &mut Deployment, machine: usize, faults: &[Fault]) -> u64 {
    let away_ms = deployment.random.random_range(100..3_000);
    let fault = faults[deployment.random.random_range(0..faults.len())];
    match fault {
        Fault::Kill => deployment.kill(machine, away_ms),
        Fault::Wipe => deployment.wipe(machine, away_ms),
        Fault::Freeze => deployment.freeze(machine, away_ms),
        Fault::Partition => deployment.partition(machine, away_ms),
        Fault::ReassignGroups => deployment.reassign_random_groups(),
        Fault::ShutDown => {
            let shutdown_ms = deployment.random.random_range(0..1_400);
            deployment.shut_down(machine);
            deployment.run(shutdown_ms);
            deployment.kill(machine, 500);
        }
    }
    away_ms
}

/// Runs clients with random requests for this time.
fn run_clients(deployment: &mut Deployment, millis: u64) {
    let until = deployment.now + millis;
    while deployment.now < until {
        let proxy = deployment.random.random_range(0..deployment.proxies.len());
        match deployment.random.random_range(0..10) {
            0 => {
                let (groups, per_group) =
                    (deployment.random.random_range(1..6), deployment.random.random_range(1..4));
                let id = format!("job-{}-{}", deployment.now, groups);
                deployment.call(proxy, Request::Submit(Box::new(job(&id, groups, per_group))));
            }
            1 => {
                let jobs = deployment.checker.accepted_job_ids();
                if let Some(id) = jobs.get(deployment.random.random_range(0..jobs.len().max(1) * 3)) {
                    deployment.call(proxy, Request::End { job: id.clone() });
                }
            }
            2 => {
                let machine = deployment.random.random_range(0..3);
                deployment.checkpoint(machine);
            }
            _ => {
                let jobs = deployment.checker.accepted_job_ids();
                if !jobs.is_empty() {
                    let id = jobs[deployment.random.random_range(0..jobs.len())].clone();
                    let seen = deployment.checker.read_result_count(&id);
                    let start = deployment.random.random_range(0..=seen) as u64;
                    let wait_ms = deployment.random.random_range(0..300);
                    deployment.call(proxy, Request::Read { job: id, start, wait_ms });
                }
            }
        }
        let pause = deployment.random.random_range(5..60);
        deployment.run(pause);
    }
}

/// Reads the results of all jobs from the start, until each job that was not ended is complete.
fn read_all_results(deployment: &mut Deployment) {
    for _ in 0..40 {
        for id in deployment.checker.accepted_job_ids() {
            for start in [0, deployment.checker.read_result_count(&id) as u64] {
                deployment.call(0, Request::Read { job: id.clone(), start, wait_ms: 0 });
            }
        }
        deployment.run(1_500);
        if deployment.are_all_calls_answered()
            && !deployment.checker.accepted_job_ids().iter().any(|id| is_incomplete(deployment, id))
        {
            return;
        }
    }
    let states: Vec<String> = (0..3).map(|machine| deployment.status(machine)).collect();
    let open: Vec<String> = deployment
        .checker
        .accepted_job_ids()
        .into_iter()
        .filter(|id| is_incomplete(deployment, id))
        .collect();
    let (seed, now) = (deployment.seed(), deployment.now);
    panic!(
        "seed {seed}: incomplete at {now}: {open:?}, all calls answered {}: {}",
        deployment.are_all_calls_answered(),
        states.join("\n")
    );
}

/// Whether a job that was not ended has missing results.
fn is_incomplete(deployment: &Deployment, id: &str) -> bool {
    !deployment.checker.has_ended(id)
        && !deployment.clients.complete.get(id).is_some_and(|complete| *complete)
}

/// Requests the bodies of all items that no read has listed.
fn request_bodies_of_unlisted_items(deployment: &mut Deployment) {
    for id in deployment.checker.accepted_job_ids() {
        let listed: Vec<String> =
            deployment.checker.listed_item_ids(&id).into_iter().map(str::to_owned).collect();
        let job = deployment.checker.accepted_job(&id).expect("acknowledged").clone();
        let ended = deployment.checker.is_end_requested(&id);
        for item in job.items.iter().filter(|item| !ended && !listed.contains(&item.id)) {
            deployment.call(1, Request::Body { job: id.clone(), item: item.id.clone() });
        }
    }
    deployment.run(100);
}

/// Returns the number of seeds to run for each case.
fn seeds_per_case() -> u64 {
    const DEFAULT_SEEDS_PER_CASE: u64 = 8;
    std::env::var("SCHEDULES").ok().and_then(|number| number.parse().ok()).unwrap_or(DEFAULT_SEEDS_PER_CASE)
}

#[rstest]
#[case::killed(&[Fault::Kill], 100_000)]
#[case::wiped(&[Fault::Wipe], 200_000)]
#[case::frozen(&[Fault::Freeze], 300_000)]
#[case::partitioned(&[Fault::Partition], 400_000)]
#[case::shut_down(&[Fault::ShutDown], 500_000)]
#[case::reassigned(&[Fault::ReassignGroups], 550_000)]
#[case::of_all_kinds(&ALL_FAULTS, 600_000)]
fn acknowledged_data_survives_faults(#[case] faults: &[Fault], #[case] first_seed: u64) {
    for seed in first_seed..first_seed + seeds_per_case() {
        let mut deployment = Deployment::new(DeploymentPlan { seed, ..PLAN });
        run_clients(&mut deployment, 3_000);
        for _ in 0..3 {
            let machine = deployment.random.random_range(0..3);
            let away = inject_fault(&mut deployment, machine, faults);
            run_clients(&mut deployment, away + CATCH_UP_MS);
        }
        request_bodies_of_unlisted_items(&mut deployment);
        read_all_results(&mut deployment);
        assert!(deployment.checker.accepted_job_ids().len() > 10, "seed {seed}: too few jobs were accepted");
        assert_eq!(deployment.checker.violations, [""; 0], "seed {seed}");
    }
}

#[rstest]
fn acknowledged_data_survives_power_loss_of_all_machines() {
    for seed in 700_000..700_000 + seeds_per_case() {
        let mut deployment = Deployment::new(DeploymentPlan { seed, ..PLAN });
        run_clients(&mut deployment, 3_000);
        for machine in 0..3 {
            let away = deployment.random.random_range(100..1_000);
            deployment.kill(machine, away);
        }
        run_clients(&mut deployment, 6_000);
        read_all_results(&mut deployment);
        assert_eq!(deployment.checker.violations, [""; 0], "seed {seed}");
    }
}

#[rstest]
fn the_checker_detects_data_loss_beyond_the_tolerance() {
    let found = (700..720).any(|seed| {
        let mut deployment = Deployment::new(DeploymentPlan { seed, tolerated_losses: 0, ..PLAN });
        run_clients(&mut deployment, 3_000);
        deployment.wipe(0, 500);
        run_clients(&mut deployment, 6_000);
        !deployment.checker.violations.is_empty()
            || deployment.checker.accepted_job_ids().iter().any(|id| is_unreadable(&mut deployment, id))
    });
    assert!(found, "the checker must detect the loss");
}

/// Returns whether a read of the job gets no response although there is no fault.
fn is_unreadable(deployment: &mut Deployment, id: &str) -> bool {
    deployment.call(0, Request::Read { job: id.to_owned(), start: 0, wait_ms: 0 });
    deployment.run(3_000);
    !deployment.are_all_calls_answered()
}

#[rstest]
fn the_checker_detects_a_proxy_that_ignores_cancellation() {
    let found = (800..810).any(|seed| {
        let mut deployment = Deployment::new(DeploymentPlan { seed, ..PLAN });
        deployment.proxies.iter_mut().for_each(|proxy| proxy.ignores_leases = true);
        run_clients(&mut deployment, 15_000);
        deployment.checker.violations.iter().any(|violation| violation.contains("has ended"))
    });
    assert!(found, "the checker must detect an item that runs after the end of its job");
}

#[rstest]
fn acknowledged_data_survives_frequent_reassignment() {
    for seed in 850_000..850_000 + seeds_per_case() {
        let mut deployment = Deployment::new(DeploymentPlan { seed, machines: 4, ..PLAN });
        run_clients(&mut deployment, 2_000);
        for _ in 0..12 {
            deployment.reassign_random_groups();
            let pause = deployment.random.random_range(1..800);
            run_clients(&mut deployment, pause);
        }
        run_clients(&mut deployment, 3_000);
        assert!(deployment.is_converged(), "seed {seed}");
        read_all_results(&mut deployment);
        deployment.run(15_000);
        let replicas: usize = (0..4).map(|machine| deployment.replica_count(machine)).sum();
        assert_eq!(replicas, 16, "seed {seed}: surplus replicas must be dropped");
        read_all_results(&mut deployment);
        assert_eq!(deployment.checker.violations, [""; 0], "seed {seed}");
    }
}

/// Absence that outlasts every schedule, so that the machine never restarts, in milliseconds.
const PERMANENT_ABSENCE_MS: u64 = 1_000_000_000;

#[rstest]
fn data_of_a_retired_machine_survives_the_loss_of_another() {
    for seed in 870_000..870_000 + 2 * seeds_per_case() {
        let mut deployment = Deployment::new(DeploymentPlan { seed, machines: 4, ..PLAN });
        run_clients(&mut deployment, 3_000);
        let leaving = deployment.random.random_range(0..4);
        let disk = deployment.machines[leaving].member.disk;
        if deployment.random.random_bool(0.5) {
            // The retirement begins while groups are being reassigned.
            deployment.reassign_random_groups();
            let pause = deployment.random.random_range(0..50);
            run_clients(&mut deployment, pause);
        }
        deployment.control.retire(disk);
        let until = deployment.now + 10_000;
        while !deployment.control.try_complete_retirement(disk) {
            assert!(deployment.now < until, "seed {seed}: retirement did not complete within 10 s");
            run_clients(&mut deployment, 1);
        }
        // The retired machine is removed at once, and another machine loses its disk at the same time.
        deployment.wipe(leaving, PERMANENT_ABSENCE_MS);
        let other = (leaving + deployment.random.random_range(1..4)) % 4;
        let away = deployment.random.random_range(100..2_000);
        deployment.wipe(other, away);
        run_clients(&mut deployment, away + CATCH_UP_MS);
        read_all_results(&mut deployment);
        assert_eq!(deployment.checker.violations, [""; 0], "seed {seed}");
    }
}

#[rstest]
fn a_converged_deployment_tolerates_the_next_loss() {
    for seed in 880_000..880_000 + seeds_per_case() {
        let mut deployment = Deployment::new(DeploymentPlan { seed, ..PLAN });
        run_clients(&mut deployment, 3_000);
        for round in 0..4 {
            let lost = deployment.random.random_range(0..3);
            let away = deployment.random.random_range(50..1_000);
            deployment.wipe(lost, away);
            let until = deployment.now + away + CATCH_UP_MS;
            run_clients(&mut deployment, away + 1);
            while !deployment.is_converged() || (0..3).any(|machine| deployment.replica_count(machine) == 0) {
                assert!(deployment.now < until, "seed {seed}, round {round}: replicas not restored in time");
                run_clients(&mut deployment, 1);
            }
        }
        run_clients(&mut deployment, CATCH_UP_MS);
        read_all_results(&mut deployment);
        assert_eq!(deployment.checker.violations, [""; 0], "seed {seed}");
    }
}

/// Time within which other machines take over the groups of one that shuts down, in milliseconds.
const HANDOVER_MS: u64 = 1_000;

#[rstest]
fn a_graceful_shutdown_hands_over_all_groups() {
    for seed in 900..900 + seeds_per_case() {
        let mut deployment = Deployment::new(DeploymentPlan { seed, ..PLAN });
        run_clients(&mut deployment, 3_000);
        let machine = deployment.random.random_range(0..3);
        assert!(deployment.is_in_sync_replica(machine));
        deployment.shut_down(machine);
        run_clients(&mut deployment, HANDOVER_MS);
        assert!(!deployment.is_in_sync_replica(machine), "seed {seed}: {}", deployment.status(machine));
        deployment.kill(machine, 500);
        run_clients(&mut deployment, 3_000);
        read_all_results(&mut deployment);
        assert_eq!(deployment.checker.violations, [""; 0], "seed {seed}");
    }
}

#[rstest]
fn a_job_beyond_the_memory_budget_is_rejected() {
    let mut deployment = Deployment::new(DeploymentPlan { seed: 1, max_bytes: 200_000, ..PLAN });
    deployment.run(2_000);
    deployment.call(0, Request::Submit(Box::new(job("small", 2, 2))));
    deployment.call(0, Request::Submit(Box::new(job("large", 50, 2))));
    deployment.run(500);
    assert_eq!(deployment.checker.accepted_job_ids(), ["small"]);
    assert_eq!(deployment.clients.rejected, ["large"]);
    assert!(
        !deployment.proxies.iter().flat_map(|proxy| proxy.running()).any(|running| running.job == "large")
    );
}

/// Guards against: an entry with the results of a whole turn that is too large for the links between the stores, so that
/// the store group stands still (`docs/incidents/a-job-that-its-store-could-not-send.md`).
#[rstest]
fn entries_of_large_results_are_bounded() {
    const TEXT_BYTES: usize = 1_000_000;
    /// Maximum size of an entry with more than one result (docs/batch.md), and a little more.
    const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024 + 64 * 1024;
    let mut deployment = Deployment::new(DeploymentPlan { seed: 970_000, ..PLAN });
    deployment.proxies.iter_mut().for_each(|proxy| proxy.text_padding_bytes = TEXT_BYTES);
    deployment.run(2_000);
    for proxy in 0..2 {
        deployment.call(proxy, Request::Submit(Box::new(job(&format!("large-{proxy}"), 3, 4))));
    }
    deployment.run(60);
    // Meanwhile items finish, and their results arrive in one turn.
    (0..3).for_each(|machine| deployment.freeze(machine, 450));
    deployment.run(500);
    read_all_results(&mut deployment);
    let largest = deployment.largest_replication_message;
    assert!(largest > TEXT_BYTES && largest <= MAX_MESSAGE_BYTES, "a message of {largest} bytes");
    assert_eq!(deployment.checker.violations, [""; 0]);
}

/// Runs a schedule with each fault once. Returns the seed, a digest of all outputs of the stores, the final time and
/// the numbers of jobs and results.
fn run_digested_schedule(seed: u64) -> String {
    let mut deployment = Deployment::new(DeploymentPlan { seed, machines: 4, ..PLAN });
    deployment.digest = Some(Digest::default());
    run_clients(&mut deployment, 3_000);
    for fault in ALL_FAULTS {
        let machine = deployment.random.random_range(0..4);
        let away = inject_fault(&mut deployment, machine, &[fault]);
        run_clients(&mut deployment, away + CATCH_UP_MS);
    }
    read_all_results(&mut deployment);
    assert_eq!(deployment.checker.violations, [""; 0], "seed {seed}");
    let mut digest = deployment.digest.take().unwrap_or_default();
    (0..4).for_each(|machine| digest.bytes(deployment.status(machine).as_bytes()));
    digest.number(deployment.random.random_range(0..u64::MAX));
    let results: usize =
        deployment.checker.accepted_job_ids().iter().map(|id| deployment.checker.read_result_count(id)).sum();
    format!(
        "{seed} {} {} {} {results}",
        digest.hex(),
        deployment.now,
        deployment.checker.accepted_job_ids().len()
    )
}

#[rstest]
fn schedules_match_the_approved_digests() {
    let lines: Vec<String> = (950..956).map(run_digested_schedule).collect();
    approve("transcripts/days.txt", &lines);
}
