//! Seeded soak of batch jobs with real processes. Trainers send one job after the other while processes are killed and
//! frozen and a route is removed and added, in series and overlapping. At most one machine with a disk is faulty at a
//! time, which the system tolerates; proxies fail and routes change at any time.
//!
//! `SOAK_SEEDS=N` and `SOAK_FIRST_SEED=M` in the environment choose the seeds.

mod faults;

use crate::common::cluster::Cluster;
use crate::common::trainer::{Job, Padding};
use crate::{Transcribers, lock_cluster, start};
use faults::FaultPlan;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Number of seeds in the default run.
const DEFAULT_SEEDS: u64 = 3;
const DEFAULT_FIRST_SEED: u64 = 100;
/// Number of the first cluster of this module; the end-to-end tests use lower ones.
const FIRST_CLUSTER: u8 = 100;
const TRAINERS: usize = 3;
/// Maximum time for a call or a job: the longest fault, the time to catch up, and the time that a job takes by itself.
const JOB_TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against: jobs that stand still, are given up early, or lose or change a result, whatever fails.
#[test]
fn batch_jobs_are_completed_under_kills_freezes_and_changes() {
    let _lock = lock_cluster();
    let first = variable("SOAK_FIRST_SEED").unwrap_or(DEFAULT_FIRST_SEED);
    let seeds = variable("SOAK_SEEDS").unwrap_or(DEFAULT_SEEDS);
    for seed in first..first + seeds {
        println!("seed {seed}");
        let cluster = FIRST_CLUSTER + u8::try_from(seed % 100).expect("below 100");
        crate::common::run(run_seed(seed, cluster));
    }
}

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

async fn run_seed(seed: u64, number: u8) {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut cluster, transcribers) = start(number).await;
    let fronts = cluster.fronts();
    let plan = FaultPlan::draw(&mut random);
    println!("{plan:?}");
    let until = Instant::now() + plan.duration();
    let trainers: Vec<_> = (0..TRAINERS)
        .map(|trainer| spawn_local(train(trainer, random.random_range(0..u64::MAX), until, fronts.clone())))
        .collect();
    let accepted_changes = plan.run(&mut cluster).await;
    println!("seed {seed}: {accepted_changes} of {} changes of the configuration accepted", plan.changes());
    for trainer in trainers {
        let jobs = trainer.await.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        check(&jobs, &transcribers, &fronts).await;
    }
    transcribers.assert_no_violations();
    end(cluster).await;
}

/// Sends jobs of random sizes, one after the other until a point in time, and reads all their results.
async fn train(trainer: usize, seed: u64, until: Instant, fronts: Vec<SocketAddr>) -> Vec<Job> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut jobs: Vec<Job> = Vec::new();
    while Instant::now() < until {
        let step = jobs.len();
        let (groups, samples) = (random.random_range(2..12), random.random_range(1..5));
        let padding = Padding { item_bytes: 0, score_bytes: random.random_range(0..200_000) };
        let id = format!("{trainer:x}{step:02x}{:05x}", random.random_range(0..0x10_0000));
        let mut job = Job::with_padding(&id, step as u64, 1, groups, samples, padding);
        job.submit(&fronts, JOB_TIMEOUT).await;
        let all = job.items.len();
        job.read_until(&fronts, all, JOB_TIMEOUT).await;
        jobs.push(job);
        tokio::time::sleep(Duration::from_millis(random.random_range(0..1_500))).await;
    }
    jobs
}

/// Checks that the results of jobs are right, and the same at each proxy.
async fn check(jobs: &[Job], transcribers: &Transcribers, fronts: &[SocketAddr]) {
    for job in jobs {
        job.assert_correct(&transcribers.model, &transcribers.page);
        job.assert_unchanged(fronts, JOB_TIMEOUT).await;
    }
}

async fn end(mut cluster: Cluster) {
    cluster.assert_running();
    cluster.shut_down().await;
}
