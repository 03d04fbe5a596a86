//! Random days of a simulated deployment: what was acknowledged or read stays, whatever is lost
//! within what must be tolerated.

use crate::approval::approve;
use crate::simulation::client::{Request, job};
use crate::simulation::digest::Digest;
use crate::simulation::world::{Plan, World};
use rand::RngExt;
use rstest::rstest;

const PLAN: Plan = Plan { seed: 0, machines: 3, proxies: 2, tolerate: 1, max_bytes: u64::MAX };
/// Time in which a machine that was lost catches up, in milliseconds.
const CATCH_UP_MS: u64 = 4_500;

/// Loses a machine in some way; how long it is away.
fn lose(world: &mut World, machine: usize, kinds: &[u32]) -> u64 {
    let away = world.random.random_range(100..3_000);
    let kind = kinds[world.random.random_range(0..kinds.len())];
    match kind {
        0 => world.kill(machine, away),
        1 => world.wipe(machine, away),
        2 => world.freeze(machine, away),
        3 => world.partition(machine, away),
        4 => world.shift_groups(),
        _ => {
            let takes = world.random.random_range(0..1_400);
            world.shut_down(machine);
            world.run(takes);
            world.kill(machine, 500);
        }
    }
    away
}

/// Clients at work for a time.
fn work(world: &mut World, millis: u64) {
    let until = world.now + millis;
    while world.now < until {
        let proxy = world.random.random_range(0..world.proxies.len());
        match world.random.random_range(0..10) {
            0 => {
                let (groups, per_group) = (world.random.random_range(1..6), world.random.random_range(1..4));
                let id = format!("job-{}-{}", world.now, groups);
                world.call(proxy, Request::Submit(Box::new(job(&id, groups, per_group))));
            }
            1 => {
                let jobs = world.checker.jobs();
                if let Some(id) = jobs.get(world.random.random_range(0..jobs.len().max(1) * 3)) {
                    world.call(proxy, Request::End { job: id.clone() });
                }
            }
            2 => {
                let machine = world.random.random_range(0..3);
                world.checkpoint(machine);
            }
            _ => {
                let jobs = world.checker.jobs();
                if !jobs.is_empty() {
                    let id = jobs[world.random.random_range(0..jobs.len())].clone();
                    let seen = world.checker.seen(&id);
                    let start = world.random.random_range(0..=seen) as u64;
                    let wait_ms = world.random.random_range(0..300);
                    world.call(proxy, Request::Read { job: id, start, wait_ms });
                }
            }
        }
        let pause = world.random.random_range(5..60);
        world.run(pause);
    }
}

/// Reads everything from the start, as at the end of a day, until all jobs that were not ended
/// are complete.
fn read_all(world: &mut World) {
    for _ in 0..40 {
        for id in world.checker.jobs() {
            for start in [0, world.checker.seen(&id) as u64] {
                world.call(0, Request::Read { job: id.clone(), start, wait_ms: 0 });
            }
        }
        world.run(1_500);
        if world.is_quiet() && !world.checker.jobs().iter().any(|id| is_open(world, id)) {
            return;
        }
    }
    let states: Vec<String> = (0..3).map(|machine| world.status(machine)).collect();
    let open: Vec<String> = world.checker.jobs().into_iter().filter(|id| is_open(world, id)).collect();
    let (seed, now) = (world.seed(), world.now);
    panic!("seed {seed}: open at {now}: {open:?}, quiet {}: {}", world.is_quiet(), states.join("\n"));
}

/// Whether a job should be completed and is not.
fn is_open(world: &World, id: &str) -> bool {
    !world.checker.has_ended(id) && !world.clients.complete.get(id).is_some_and(|complete| *complete)
}

fn bodies_of_unlisted(world: &mut World) {
    for id in world.checker.jobs() {
        let listed: Vec<String> = world.checker.listed(&id).into_iter().map(str::to_owned).collect();
        let job = world.checker.job(&id).expect("acknowledged").clone();
        let ended = world.checker.is_end_requested(&id);
        for item in job.items.iter().filter(|item| !ended && !listed.contains(&item.id)) {
            world.call(1, Request::Body { job: id.clone(), item: item.id.clone() });
        }
    }
    world.run(100);
}

/// Days played for each kind of fault; more with `SCHEDULES=N` in the environment.
fn schedules() -> u64 {
    const USUAL: u64 = 8;
    std::env::var("SCHEDULES").ok().and_then(|number| number.parse().ok()).unwrap_or(USUAL)
}

#[rstest]
#[case::killed(&[0], 100_000)]
#[case::wiped(&[1], 200_000)]
#[case::frozen(&[2], 300_000)]
#[case::partitioned(&[3], 400_000)]
#[case::stopped(&[5], 500_000)]
#[case::shifted(&[4], 550_000)]
#[case::of_all_kinds(&[0, 1, 2, 3, 4, 5], 600_000)]
fn acknowledged_data_survives(#[case] kinds: &[u32], #[case] first_seed: u64) {
    for seed in first_seed..first_seed + schedules() {
        let mut world = World::new(Plan { seed, ..PLAN });
        work(&mut world, 3_000);
        for _ in 0..3 {
            let machine = world.random.random_range(0..3);
            let away = lose(&mut world, machine, kinds);
            work(&mut world, away + CATCH_UP_MS);
        }
        bodies_of_unlisted(&mut world);
        read_all(&mut world);
        assert!(world.checker.jobs().len() > 10, "seed {seed}: clients came to nothing");
        assert_eq!(world.checker.violations, [""; 0], "seed {seed}");
    }
}

#[rstest]
fn survives_a_power_loss_of_all_machines() {
    for seed in 700_000..700_000 + schedules() {
        let mut world = World::new(Plan { seed, ..PLAN });
        work(&mut world, 3_000);
        for machine in 0..3 {
            let away = world.random.random_range(100..1_000);
            world.kill(machine, away);
        }
        work(&mut world, 6_000);
        read_all(&mut world);
        assert_eq!(world.checker.violations, [""; 0], "seed {seed}");
    }
}

#[rstest]
fn checker_detects_a_loss_beyond_the_tolerance() {
    let found = (700..720).any(|seed| {
        let mut world = World::new(Plan { seed, tolerate: 0, ..PLAN });
        work(&mut world, 3_000);
        world.wipe(0, 500);
        work(&mut world, 6_000);
        !world.checker.violations.is_empty()
            || world.checker.jobs().iter().any(|id| stays_unread(&mut world, id))
    });
    assert!(found, "the checker finds no loss where there must be one");
}

/// Whether a job can't be read although there is no fault.
fn stays_unread(world: &mut World, id: &str) -> bool {
    world.call(0, Request::Read { job: id.to_owned(), start: 0, wait_ms: 0 });
    world.run(3_000);
    !world.is_quiet()
}

#[rstest]
fn checker_detects_a_proxy_that_ignores_cancels() {
    let found = (800..810).any(|seed| {
        let mut world = World::new(Plan { seed, ..PLAN });
        world.proxies.iter_mut().for_each(|proxy| proxy.ignores_leases = true);
        work(&mut world, 15_000);
        world.checker.violations.iter().any(|violation| violation.contains("has ended"))
    });
    assert!(found, "the checker finds no late run where there must be one");
}

#[rstest]
fn survives_frequent_reassignment() {
    for seed in 850_000..850_000 + schedules() {
        let mut world = World::new(Plan { seed, machines: 4, ..PLAN });
        work(&mut world, 2_000);
        for _ in 0..12 {
            world.shift_groups();
            let pause = world.random.random_range(1..800);
            work(&mut world, pause);
        }
        work(&mut world, 3_000);
        assert!(world.is_converged(), "seed {seed}");
        read_all(&mut world);
        world.run(15_000);
        let replicas: usize = (0..4).map(|machine| world.replica_count(machine)).sum();
        assert_eq!(replicas, 16, "seed {seed}: replicas of other machines are dropped");
        read_all(&mut world);
        assert_eq!(world.checker.violations, [""; 0], "seed {seed}");
    }
}

/// A machine that is away for so long never comes back.
const FOR_GOOD_MS: u64 = 1_000_000_000;

#[rstest]
fn data_of_a_retired_machine_survives_the_next_loss() {
    for seed in 870_000..870_000 + 2 * schedules() {
        let mut world = World::new(Plan { seed, machines: 4, ..PLAN });
        work(&mut world, 3_000);
        let leaving = world.random.random_range(0..4);
        let disk = world.machines[leaving].member.disk;
        if world.random.random_bool(0.5) {
            // Its groups are on the move when it is to be emptied.
            world.shift_groups();
            let pause = world.random.random_range(0..50);
            work(&mut world, pause);
        }
        world.control.retire(disk);
        let until = world.now + 10_000;
        while !world.control.completes_retirement(disk) {
            assert!(world.now < until, "seed {seed}: not empty in time");
            work(&mut world, 1);
        }
        // It is taken away at once, and another machine loses its disk at the same moment.
        world.wipe(leaving, FOR_GOOD_MS);
        let other = (leaving + world.random.random_range(1..4)) % 4;
        let away = world.random.random_range(100..2_000);
        world.wipe(other, away);
        work(&mut world, away + CATCH_UP_MS);
        read_all(&mut world);
        assert_eq!(world.checker.violations, [""; 0], "seed {seed}");
    }
}

#[rstest]
fn tolerates_the_next_loss_once_converged() {
    for seed in 880_000..880_000 + schedules() {
        let mut world = World::new(Plan { seed, ..PLAN });
        work(&mut world, 3_000);
        for round in 0..4 {
            let lost = world.random.random_range(0..3);
            let away = world.random.random_range(50..1_000);
            world.wipe(lost, away);
            let until = world.now + away + CATCH_UP_MS;
            work(&mut world, away + 1);
            while !world.is_converged() || (0..3).any(|machine| world.replica_count(machine) == 0) {
                assert!(world.now < until, "seed {seed}, round {round}: not repaired in time");
                work(&mut world, 1);
            }
        }
        work(&mut world, CATCH_UP_MS);
        read_all(&mut world);
        assert_eq!(world.checker.violations, [""; 0], "seed {seed}");
    }
}

/// Time in which others take over from a machine that shuts down, in milliseconds.
const HANDOVER_MS: u64 = 1_000;

#[rstest]
fn graceful_shutdown_hands_groups_over() {
    for seed in 900..900 + schedules() {
        let mut world = World::new(Plan { seed, ..PLAN });
        work(&mut world, 3_000);
        let machine = world.random.random_range(0..3);
        assert!(world.is_in_sync_replica(machine));
        world.shut_down(machine);
        work(&mut world, HANDOVER_MS);
        assert!(!world.is_in_sync_replica(machine), "seed {seed}: {}", world.status(machine));
        world.kill(machine, 500);
        work(&mut world, 3_000);
        read_all(&mut world);
        assert_eq!(world.checker.violations, [""; 0], "seed {seed}");
    }
}

#[rstest]
fn rejects_a_job_beyond_the_budget() {
    let mut world = World::new(Plan { seed: 1, max_bytes: 200_000, ..PLAN });
    world.run(2_000);
    world.call(0, Request::Submit(Box::new(job("small", 2, 2))));
    world.call(0, Request::Submit(Box::new(job("large", 50, 2))));
    world.run(500);
    assert_eq!(world.checker.jobs(), ["small"]);
    assert_eq!(world.clients.refused, ["large"]);
    assert!(!world.proxies.iter().flat_map(|proxy| proxy.running()).any(|running| running.job == "large"));
}

/// A day with all kinds of fault: a digest of all that the stores put out, and numbers that say what happened.
fn day(seed: u64) -> String {
    let mut world = World::new(Plan { seed, machines: 4, ..PLAN });
    world.digest = Some(Digest::default());
    work(&mut world, 3_000);
    for kind in [0, 1, 2, 3, 4, 5] {
        let machine = world.random.random_range(0..4);
        let away = lose(&mut world, machine, &[kind]);
        work(&mut world, away + CATCH_UP_MS);
    }
    read_all(&mut world);
    assert_eq!(world.checker.violations, [""; 0], "seed {seed}");
    let mut digest = world.digest.take().unwrap_or_default();
    (0..4).for_each(|machine| digest.bytes(world.status(machine).as_bytes()));
    digest.number(world.random.random_range(0..u64::MAX));
    let results: usize = world.checker.jobs().iter().map(|id| world.checker.seen(id)).sum();
    format!("{seed} {} {} {} {results}", digest.hex(), world.now, world.checker.jobs().len())
}

#[rstest]
fn runs_match_the_approved_digests() {
    let lines: Vec<String> = (950..956).map(day).collect();
    approve("transcripts/days.txt", &lines);
}
