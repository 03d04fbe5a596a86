//! Releases of a trial. Each is started by two operators and driven by two drivers that are killed at random.
//! Releases are halted, and defective versions are rolled back.

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

/// Responses that a driver needs before it judges a version: as many as a dispatcher gives while it is observed.
const MIN_SAMPLE_ANSWERS: &str = "20";
/// Drop in the served share beyond which a version is halted. A version that refuses a fifth of its requests must far
/// exceed it.
const MAX_SERVED_SHARE_DROP: &str = "0.1";
/// Share of dispatchers in the second wave. The first wave is one dispatcher, the last is all.
const SECOND_WAVE_SHARE: &str = "50%";
/// First part of the ids of requests that halt releases on behalf of an operator. Each kind of request has its own
/// value.
const HALT_REQUEST_ID_PREFIX: u64 = 31;
/// First part of the ids of requests that end such a halt.
const RESUME_REQUEST_ID_PREFIX: u64 = 32;
/// First part of the ids of requests that end a driver's halt. The number of the wait is added.
const DRIVER_RESUME_REQUEST_ID_PREFIX: u64 = 33;
/// Time after which a release without permits counts as completed.
const UNPERMITTED_RELEASE_DURATION: Duration = Duration::from_secs(20);

/// How a release ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReleaseOutcome {
    Completed,
    RolledBack,
}

/// Numbers of releases in a trial.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReleaseCounts {
    pub(super) started: usize,
    pub(super) completed: usize,
    pub(super) rolled_back: usize,
}

/// Suspends a process for `duration`.
async fn suspend(process: &tokio::process::Child, duration: Duration) {
    let Some(process_id) = process.id() else { return };
    signal::send(process_id, Signal::SIGSTOP);
    sleep(duration).await;
    signal::send(process_id, Signal::SIGCONT);
}

/// Runs a driver of the current release, which is killed and restarted at random, for as long as the future is
/// polled.
async fn run_unreliable_driver(trial: &Trial, mut rng: Pcg64Mcg) -> Result<()> {
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
            MAX_SERVED_SHARE_DROP,
            "--sample",
            MIN_SAMPLE_ANSWERS,
        ];
        let mut driver = trial.operators.spawn(&arguments)?;
        let lifetime = Duration::from_millis(rng.random_range(2_000..30_000));
        if timeout(lifetime, driver.wait()).await.is_err() {
            if rng.random_range(0..3) == 0 {
                // A driver that resumes after others have made progress sends outdated requests.
                suspend(&driver, Duration::from_millis(rng.random_range(2_000..8_000))).await;
                let _ = timeout(Duration::from_secs(1), driver.wait()).await;
            }
            driver.kill().await?;
            *lock(&trial.operators.killed) += 1;
        }
        sleep(Duration::from_millis(rng.random_range(100..600))).await;
    }
}

/// Waits until all dispatchers run `version`, no permit is left and the release has ended. A halt by a driver ends
/// the wait if `until_halted` is set, and is resumed otherwise.
async fn wait_for_completion(trial: &Trial, number: u64, version: &str, until_halted: bool) -> Result<()> {
    let mut client = trial.operators.client();
    let dispatchers = trial.plan.dispatchers;
    let deadline = Instant::now() + COMPLETION_TIMEOUT + Duration::from_secs(6 * dispatchers as u64);
    for round in 0.. {
        let progress = Progress::read(&mut client, version, DISPATCHER_PERMITS).await;
        match &progress {
            Ok(progress) if progress.halted && until_halted => return Ok(()),
            Ok(progress) if progress.halted => {
                apply(
                    &mut client,
                    (DRIVER_RESUME_REQUEST_ID_PREFIX + number, round),
                    &json!({"resume": "dispatcher"}),
                )
                .await?;
            }
            Ok(progress)
                if (progress.ready_members, progress.permits, progress.in_progress)
                    == (dispatchers, 0, false) =>
            {
                return Ok(());
            }
            _ => {}
        }
        if Instant::now() >= deadline {
            bail!("release of {version} did not complete in time: {progress:?}");
        }
        sleep(Duration::from_millis(200)).await;
    }
    Ok(())
}

/// Runs one release, which two operators start at once and two drivers drive. A sound version is halted by an
/// operator during the release and resumed. A defective version is halted by its drivers and rolled back.
async fn run_release(
    trial: &Trial, number: u64, version: &str, previous_version: &str,
) -> Result<ReleaseOutcome> {
    let mut rng = Pcg64Mcg::seed_from_u64(trial.plan.seed.wrapping_mul(7_919) ^ number);
    let mut next_seed = || rng.random::<u64>();
    let waves = format!("1,{SECOND_WAVE_SHARE},100%");
    let arguments = ["release", "start", version, "--waves", &waves];
    tokio::try_join!(
        trial.operators.run(&arguments, next_seed()),
        trial.operators.run(&arguments, next_seed())
    )?;
    let rng_from_seed = Pcg64Mcg::seed_from_u64;
    let (first_rng, second_rng, mut rng) =
        (rng_from_seed(next_seed()), rng_from_seed(next_seed()), rng_from_seed(next_seed()));
    let release_steps = async {
        let mut client = trial.operators.client();
        if VersionDefect::of(version).is_some() {
            wait_for_completion(trial, number * 10, version, true).await?;
            trial.operators.run(&["release", "back", previous_version], rng.random()).await?;
            apply(&mut client, (RESUME_REQUEST_ID_PREFIX, number), &json!({"resume": "dispatcher"})).await?;
            wait_for_completion(trial, number * 10 + 1, previous_version, false).await?;
            return Ok(ReleaseOutcome::RolledBack);
        }
        sleep(Duration::from_millis(rng.random_range(200..6_000))).await;
        apply(&mut client, (HALT_REQUEST_ID_PREFIX, number), &json!({"halt": "dispatcher"})).await?;
        let acknowledged_at = trial.supervisor.now();
        sleep(Duration::from_millis(rng.random_range(1_000..3_000))).await;
        lock(&trial.halts).push(Halt { acknowledged_at, resumed_at: trial.supervisor.now() });
        apply(&mut client, (RESUME_REQUEST_ID_PREFIX, number), &json!({"resume": "dispatcher"})).await?;
        wait_for_completion(trial, number * 10, version, false).await?;
        Ok(ReleaseOutcome::Completed)
    };
    tokio::select! {
        outcome = release_steps => outcome,
        driven = run_unreliable_driver(trial, first_rng) => bail!("driver failed: {driven:?}"),
        driven = run_unreliable_driver(trial, second_rng) => bail!("driver failed: {driven:?}"),
    }
}

/// Makes one release after another until the trial stops. Under permits every third version is defective.
pub(super) async fn run_releases(trial: Arc<Trial>) -> (ReleaseCounts, Result<()>) {
    let mut counts = ReleaseCounts::default();
    let mut previous_version = INITIAL_VERSION.to_owned();
    while !trial.stopping.load(Ordering::Relaxed) {
        counts.started += 1;
        let defective = counts.started % 3 == 0 && trial.plan.mode == Mode::Permits;
        let defect = VersionDefect::ALL[counts.started / 3 % VersionDefect::ALL.len()];
        let version = format!("{}{}", if defective { defect.name() } else { "v" }, counts.started);
        let outcome = match trial.plan.mode {
            Mode::Permits => run_release(&trial, counts.started as u64, &version, &previous_version).await,
            Mode::AtOnce => {
                (0..trial.plan.dispatchers).for_each(|n| trial.supervisor.inject(n, ProcessFault::Stop));
                sleep(UNPERMITTED_RELEASE_DURATION).await;
                Ok(ReleaseOutcome::Completed)
            }
            Mode::None => {
                sleep(UNPERMITTED_RELEASE_DURATION).await;
                Ok(ReleaseOutcome::Completed)
            }
        };
        match outcome {
            Ok(ReleaseOutcome::Completed) => {
                (counts.completed, previous_version) = (counts.completed + 1, version)
            }
            Ok(ReleaseOutcome::RolledBack) => counts.rolled_back += 1,
            Err(error) => return (counts, Err(error)),
        }
    }
    (counts, Ok(()))
}
