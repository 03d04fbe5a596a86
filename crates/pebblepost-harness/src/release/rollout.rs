//! Releases of a trial: begun by two operators, driven by two drivers that are killed, halted, and rolled back if defective.

use super::operators::{COMPLETION_TIMEOUT, apply};
use super::outages::Halt;
use super::plan::{INITIAL_VERSION, Mode};
use super::progress::{DISPATCHER_PERMITS, Progress};
use super::trial::Trial;
use crate::fault::signal::{self, Signal};
use crate::supervisor::{ProcessFault, VersionDefect};
use crate::sync::lock;
use anyhow::{Result, bail};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Answers that a driver needs to judge a version: what a dispatcher gives while it is observed.
const SAMPLE_SIZE: &str = "20";
/// A version that serves so much less of its requests is halted; one that refuses a fifth must be far beyond it.
const MAX_SERVED_DROP: &str = "0.1";
/// The second wave; the first is one dispatcher, the last is all.
const SECOND_WAVE: &str = "50%";
/// Requests by their kind, as the first part of their ids: halts by an operator.
const HALT_REQUESTS: u64 = 31;
/// Ends of halts.
const RESUME_REQUESTS: u64 = 32;
/// Ends of halts by a driver; the number of the release is added.
const DRIVER_HALT_REQUESTS: u64 = 33;
/// A release without permits counts as completed after this.
const WITHOUT_PERMITS: Duration = Duration::from_secs(20);

/// How a release ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReleaseEnd {
    Completed,
    RolledBack,
}

/// Releases of a trial.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReleaseCounts {
    pub(super) begun: usize,
    pub(super) completed: usize,
    pub(super) rolled_back: usize,
}

/// Suspends a process for so long.
async fn suspend(process: &tokio::process::Child, duration: Duration) {
    let Some(process_id) = process.id() else { return };
    signal::send(process_id, Signal::SIGSTOP);
    sleep(duration).await;
    signal::send(process_id, Signal::SIGCONT);
}

/// Runs a driver of the present release that is killed and started again, for as long as it is polled.
async fn drive(trial: &Trial, mut rng: Pcg64Mcg) -> Result<()> {
    let watch = trial.plan.watch_s.to_string();
    loop {
        let arguments = [
            "release",
            "drive",
            "--pause-s",
            &watch,
            "--patience-s",
            "40",
            "--crashes",
            "2",
            "--drop",
            MAX_SERVED_DROP,
            "--sample",
            SAMPLE_SIZE,
        ];
        let mut driver = trial.operators.spawn(&arguments)?;
        let lifetime = Duration::from_millis(rng.random_range(2_000..30_000));
        if timeout(lifetime, driver.wait()).await.is_err() {
            if rng.random_range(0..3) == 0 {
                // It resumes after others have gone on, and sends requests that are out of date.
                suspend(&driver, Duration::from_millis(rng.random_range(2_000..8_000))).await;
                let _ = timeout(Duration::from_secs(1), driver.wait()).await;
            }
            driver.kill().await?;
            *lock(&trial.operators.killed) += 1;
        }
        sleep(Duration::from_millis(rng.random_range(100..600))).await;
    }
}

/// Waits until all dispatchers have a version and no permit is left. A halt by a driver ends the wait if `until_halted`, else
/// it is resumed.
async fn wait_for_completion(trial: &Trial, number: u64, version: &str, until_halted: bool) -> Result<()> {
    let mut client = trial.operators.client();
    let all = trial.plan.dispatchers;
    let end = Instant::now() + COMPLETION_TIMEOUT + Duration::from_secs(6 * all as u64);
    for round in 0.. {
        let now = Progress::read(&mut client, version, DISPATCHER_PERMITS).await;
        match &now {
            Ok(now) if now.halted && until_halted => return Ok(()),
            Ok(now) if now.halted => {
                apply(&mut client, (DRIVER_HALT_REQUESTS + number, round), &json!({"resume": "dispatcher"}))
                    .await?;
            }
            Ok(now) if (now.ready_members, now.permits, now.in_progress) == (all, 0, false) => return Ok(()),
            _ => {}
        }
        if Instant::now() >= end {
            bail!("release {version} has not ended: {now:?}");
        }
        sleep(Duration::from_millis(200)).await;
    }
    Ok(())
}

/// One release: begun by two operators at once, driven by two drivers, halted by an operator in the middle. A defective one
/// is halted by its drivers and rolled back.
async fn release(trial: &Trial, number: u64, version: &str, before: &str) -> Result<ReleaseEnd> {
    let mut rng = Pcg64Mcg::seed_from_u64(trial.plan.seed.wrapping_mul(7_919) ^ number);
    let mut fork = || rng.random::<u64>();
    let waves = format!("1,{SECOND_WAVE},100%");
    let arguments = ["release", "start", version, "--waves", &waves];
    tokio::try_join!(trial.operators.run(&arguments, fork()), trial.operators.run(&arguments, fork()))?;
    let seeded = Pcg64Mcg::seed_from_u64;
    let (one, other, mut rng) = (seeded(fork()), seeded(fork()), seeded(fork()));
    let steps = async {
        let mut client = trial.operators.client();
        if VersionDefect::of(version).is_some() {
            wait_for_completion(trial, number * 10, version, true).await?;
            trial.operators.run(&["release", "back", before], rng.random()).await?;
            apply(&mut client, (RESUME_REQUESTS, number), &json!({"resume": "dispatcher"})).await?;
            wait_for_completion(trial, number * 10 + 1, before, false).await?;
            return Ok(ReleaseEnd::RolledBack);
        }
        sleep(Duration::from_millis(rng.random_range(200..6_000))).await;
        apply(&mut client, (HALT_REQUESTS, number), &json!({"halt": "dispatcher"})).await?;
        let acknowledged_at = trial.supervisor.now();
        sleep(Duration::from_millis(rng.random_range(1_000..3_000))).await;
        lock(&trial.halts).push(Halt { acknowledged_at, resumed_at: trial.supervisor.now() });
        apply(&mut client, (RESUME_REQUESTS, number), &json!({"resume": "dispatcher"})).await?;
        wait_for_completion(trial, number * 10, version, false).await?;
        Ok(ReleaseEnd::Completed)
    };
    tokio::select! {
        end = steps => end,
        driven = drive(trial, one) => bail!("a driver does not start: {driven:?}"),
        driven = drive(trial, other) => bail!("a driver does not start: {driven:?}"),
    }
}

/// Releases one after another until the trial stops; each third is defective.
pub(super) async fn run_releases(trial: Arc<Trial>) -> (ReleaseCounts, Result<()>) {
    let mut counts = ReleaseCounts::default();
    let mut before = INITIAL_VERSION.to_owned();
    while !trial.stopping.load(Ordering::Relaxed) {
        counts.begun += 1;
        let defective = counts.begun % 3 == 0 && trial.plan.mode == Mode::Permits;
        let defect = VersionDefect::ALL[counts.begun / 3 % VersionDefect::ALL.len()];
        let version = format!("{}{}", if defective { defect.name() } else { "v" }, counts.begun);
        let ended = match trial.plan.mode {
            Mode::Permits => release(&trial, counts.begun as u64, &version, &before).await,
            Mode::AtOnce => {
                (0..trial.plan.dispatchers).for_each(|n| trial.supervisor.inject(n, ProcessFault::Stop));
                sleep(WITHOUT_PERMITS).await;
                Ok(ReleaseEnd::Completed)
            }
            Mode::None => {
                sleep(WITHOUT_PERMITS).await;
                Ok(ReleaseEnd::Completed)
            }
        };
        match ended {
            Ok(ReleaseEnd::Completed) => (counts.completed, before) = (counts.completed + 1, version),
            Ok(ReleaseEnd::RolledBack) => counts.rolled_back += 1,
            Err(error) => return (counts, Err(error)),
        }
    }
    (counts, Ok(()))
}
