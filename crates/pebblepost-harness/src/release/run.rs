//! `rig release`: releases one after another, each by two drivers, under a schedule of faults.

use super::hands::{Hands, most_off, work_while_off};
use super::office::{Office, PATIENCE, TAIL, insist};
use super::scribe::{self, Notes};
use super::witness::{Halt, by_permit, late_after, most_at_once};
use crate::clients::Outcome;
use crate::dispatcher::ZONES;
use crate::fault::schedule::{Schedule, ScheduleParameters};
use crate::run::{Played, Run};
use crate::store::client::StoreClient;
use crate::store::cluster::{Cluster, retry_until};
use crate::supervisor::{Flaw, Outage, OutageCause, ProcessFault, Supervisor};
use crate::sync::lock;
use crate::workload::spec::RunSpec;
use anyhow::{Context, Result, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// So many answers tell how well a version serves: what a dispatcher gets in a watch.
const SAMPLE: &str = "20";
/// A version that serves so much less of its requests is halted. One that refuses a fifth must not be near it.
const DROP: &str = "0.1";
/// What a dispatcher's permit begins with.
const GOES: &str = "permit/dispatcher/";
/// The second wave; the first is one dispatcher, the last is all.
const WAVE: &str = "50%";

/// How dispatchers are brought to a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// By permits, under a budget.
    Permits,
    /// All at once, by SIGTERM.
    AtOnce,
    /// Not at all: the same faults and no release.
    None,
}

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Dispatchers.
    pub dispatchers: usize,
    /// Stand-in workers.
    pub workers: usize,
    /// Keepers.
    pub replicas: usize,
    /// Most dispatchers out at once, and in each zone.
    pub budget: (u32, u32),
    /// Most workers out at once; one hand more switches them off and on.
    pub worker_budget: u32,
    /// Seconds for which a driver watches a wave that is back.
    pub watch_s: f64,
    /// Seconds of faults and releases.
    pub seconds: f64,
    /// The seed.
    pub seed: u64,
    /// Faults are drawn at all.
    pub faults: bool,
    /// How releases are made.
    pub mode: Mode,
}

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Releases begun, and those of them that came to an end: all members of the version, no permit left.
    pub releases: usize,
    /// See `releases`.
    pub completed: usize,
    /// Those that were bad, halted by their drivers, and taken back to the end.
    pub rolled_back: usize,
    /// The most dispatchers that ever ran one bad version, of any kind, that crashes, and that refuses.
    pub bad_version_reached: usize,
    /// See `bad_version_reached`.
    pub crashing_reached: usize,
    /// See `bad_version_reached`.
    pub refusing_reached: usize,
    /// Those that a driver halted; each is taken back.
    pub halted: usize,
    /// Permits granted, as the keepers tell of their changes, to dispatchers and to workers.
    pub grants: usize,
    /// See `grants`.
    pub grants_to_workers: usize,
    /// Grants after which more were out, for whatever reason, than a budget allows.
    pub grants_over_budget: usize,
    /// Halts made by hand in the middle of one.
    pub halts: usize,
    /// Dispatchers that ended themselves, each by a permit.
    pub went: usize,
    /// The most of them that were out at once, in the fleet and in a zone.
    pub max_out_dispatchers: usize,
    /// See `max_out_dispatchers`.
    pub max_out_in_zone: usize,
    /// What the budget allows.
    pub budget_dispatchers: u32,
    /// See `budget_dispatchers`.
    pub budget_in_zone: u32,
    /// How long more were out by a permit than that, in the fleet or in a zone.
    pub over_budget_ms: f64,
    /// The most that were out at once for whatever reason.
    pub max_out_for_any_reason: usize,
    /// Permits that are left once all faults are over.
    pub stuck_permits: usize,
    /// How often a worker was switched off by a permit, and the most at once.
    pub workers_off: usize,
    /// See `workers_off`.
    pub max_out_workers: usize,
    /// What the budget allows.
    pub budget_workers: u32,
    /// From the request for a worker's permit until it might be switched off: median and 99th percentile.
    pub off_after_p50_ms: f64,
    /// See `off_after_p50_ms`.
    pub off_after_p99_ms: f64,
    /// Jobs that came to a worker, or ran on there, while it was switched off.
    pub work_while_off: usize,
    /// How long after a halt was acknowledged the last one went: 99th percentile of the halts.
    pub halt_p99_ms: f64,
    /// Part of the clients' requests that was served.
    pub served_share: f64,
    /// Parts that were refused, and lost: no whole answer came.
    pub refused_share: f64,
    /// See `refused_share`.
    pub lost_share: f64,
    /// How long a dispatcher was out that ended by itself, and one that was ended by an order: medians.
    pub out_itself_p50_ms: f64,
    /// See `out_itself_p50_ms`.
    pub out_ordered_p50_ms: f64,
    /// Drivers that were killed.
    pub drivers_killed: usize,
    /// Faults of the keepers by kind, and orders to dispatchers.
    pub faults: BTreeMap<&'static str, usize>,
    /// Rules of the dispatchers that were broken, and processes that ended by an error.
    pub rules_broken: usize,
}

struct Shared {
    plan: Plan,
    office: Office,
    supervisor: Arc<Supervisor>,
    /// No further release begins.
    enough: AtomicBool,
    halts: Mutex<Vec<Halt>>,
    hands: Hands,
    notes: Mutex<Notes>,
}

/// How far a release is.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// Members that are there, ready and of its version.
    there: usize,
    /// Permits left.
    permits: usize,
    halted: bool,
    /// It goes on.
    release: bool,
}

/// `of`: what the permits begin with that count.
async fn progress(client: &mut StoreClient, version: &str, of: &str) -> Result<Progress> {
    let say = client.ask(&json!({"get": []}), PATIENCE).await?;
    let entries = say.pointer("/found/entries").and_then(Value::as_object);
    let entries = entries.with_context(|| format!("no entries: {say}"))?;
    let there = |entry: &&Value| {
        let member = &entry["value"]["member"];
        let card = &member["card"];
        member["presence"] == "here"
            && card["ready"] == true
            && (version.is_empty() || card["version"] == version)
    };
    Ok(Progress {
        there: entries.values().filter(there).count(),
        permits: entries.keys().filter(|k| k.starts_with(of)).count(),
        halted: entries.contains_key("halt/dispatcher"),
        release: entries.contains_key("release/dispatcher"),
    })
}

/// A process stands still for so long.
async fn pause(process: &tokio::process::Child, lasts: Duration) {
    let Some(pid) = process.id().and_then(|id| i32::try_from(id).ok()).map(Pid::from_raw) else { return };
    let _ = kill(pid, Signal::SIGSTOP);
    sleep(lasts).await;
    let _ = kill(pid, Signal::SIGCONT);
}

/// Drives the present release, as a process that is killed again and again, for as long as it is polled.
async fn drive(shared: &Shared, mut rng: Pcg64Mcg) -> Result<()> {
    let watch = shared.plan.watch_s.to_string();
    loop {
        let words = [
            "release",
            "drive",
            "--pause-s",
            &watch,
            "--patience-s",
            "40",
            "--crashes",
            "2",
            "--drop",
            DROP,
            "--sample",
            SAMPLE,
        ];
        let mut driver = shared.office.operator(&words)?;
        let lives = Duration::from_millis(rng.random_range(2_000..30_000));
        if timeout(lives, driver.wait()).await.is_err() {
            if rng.random_range(0..3) == 0 {
                // It wakes up after others have gone on, and asks for what made sense when it was paused.
                pause(&driver, Duration::from_millis(rng.random_range(2_000..8_000))).await;
                let _ = timeout(Duration::from_secs(1), driver.wait()).await;
            }
            driver.kill().await?;
            *lock(&shared.office.killed) += 1;
        }
        sleep(Duration::from_millis(rng.random_range(100..600))).await;
    }
}

/// Waits until all have a version and no permit is left. A halt that nobody here made is resumed, unless `until_halted`.
async fn ends(shared: &Shared, number: u64, version: &str, until_halted: bool) -> Result<()> {
    let mut client = shared.office.client();
    let all = shared.plan.dispatchers;
    let end = Instant::now() + TAIL + Duration::from_secs(6 * all as u64);
    for round in 0.. {
        let now = progress(&mut client, version, GOES).await;
        match &now {
            Ok(now) if now.halted && until_halted => return Ok(()),
            Ok(now) if now.halted => {
                insist(&mut client, (33 + number, round), &json!({"resume": "dispatcher"})).await?;
            }
            Ok(now) if (now.there, now.permits, now.release) == (all, 0, false) => return Ok(()),
            _ => {}
        }
        if Instant::now() >= end {
            bail!("release {version} has not ended: {now:?}");
        }
        sleep(Duration::from_millis(200)).await;
    }
    Ok(())
}

/// One release: begun by two operators at once, driven by two drivers, halted by hand in the middle. A bad one is halted by
/// its drivers, and all go back.
async fn release(shared: &Shared, number: u64, version: &str, before: &str) -> Result<bool> {
    let mut rng = Pcg64Mcg::seed_from_u64(shared.plan.seed.wrapping_mul(7_919) ^ number);
    let mut fork = || rng.random::<u64>();
    let waves = format!("1,{},100%", WAVE);
    let words = ["release", "start", version, "--waves", &waves];
    tokio::try_join!(shared.office.start(&words, fork()), shared.office.start(&words, fork()))?;
    let seeded = Pcg64Mcg::seed_from_u64;
    let (one, other, mut rng) = (seeded(fork()), seeded(fork()), seeded(fork()));
    let course = async {
        let mut client = shared.office.client();
        if Flaw::of(version).is_some() {
            ends(shared, number * 10, version, true).await?;
            shared.office.start(&["release", "back", before], rng.random()).await?;
            insist(&mut client, (32, number), &json!({"resume": "dispatcher"})).await?;
            ends(shared, number * 10 + 1, before, false).await?;
            return Ok(true);
        }
        sleep(Duration::from_millis(rng.random_range(200..6_000))).await;
        insist(&mut client, (31, number), &json!({"halt": "dispatcher"})).await?;
        let halted = shared.supervisor.now();
        sleep(Duration::from_millis(rng.random_range(1_000..3_000))).await;
        lock(&shared.halts).push((halted, shared.supervisor.now()));
        insist(&mut client, (32, number), &json!({"resume": "dispatcher"})).await?;
        ends(shared, number * 10, version, false).await?;
        Ok(false)
    };
    tokio::select! {
        went_back = course => went_back,
        driven = drive(shared, one) => bail!("a driver does not start: {driven:?}"),
        driven = drive(shared, other) => bail!("a driver does not start: {driven:?}"),
    }
}

/// How many releases were begun, came to their end, and were taken back.
#[derive(Clone, Copy, Debug, Default)]
struct Course {
    begun: usize,
    completed: usize,
    taken_back: usize,
}

/// Releases one after another until there are enough; each third is a bad one.
async fn releases(shared: Arc<Shared>) -> (Course, Result<()>) {
    let mut course = Course::default();
    let mut before = "v0".to_owned();
    while !shared.enough.load(Ordering::Relaxed) {
        course.begun += 1;
        let bad = course.begun % 3 == 0 && shared.plan.mode == Mode::Permits;
        let flaw = Flaw::ALL[course.begun / 3 % Flaw::ALL.len()];
        let version = format!("{}{}", if bad { flaw.name() } else { "v" }, course.begun);
        let ended = match shared.plan.mode {
            Mode::Permits => release(&shared, course.begun as u64, &version, &before).await,
            Mode::AtOnce => {
                (0..shared.plan.dispatchers).for_each(|n| shared.supervisor.inject(n, ProcessFault::Stop));
                sleep(Duration::from_secs(20)).await;
                Ok(false)
            }
            Mode::None => {
                sleep(Duration::from_secs(20)).await;
                Ok(false)
            }
        };
        match ended {
            Ok(false) => (course.completed, before) = (course.completed + 1, version),
            Ok(true) => course.taken_back += 1,
            Err(error) => return (course, Err(error)),
        }
    }
    (course, Ok(()))
}

/// Kills and pauses dispatchers, for as long as it is polled.
async fn orders(shared: &Shared, counts: &Mutex<BTreeMap<&'static str, usize>>) {
    let mut rng = Pcg64Mcg::seed_from_u64(shared.plan.seed ^ 0xd15);
    loop {
        sleep(Duration::from_secs_f64(rng.random_range(3.0..9.0))).await;
        let (one, all) = (rng.random_range(0..shared.plan.dispatchers), 0..shared.plan.dispatchers);
        let zone = one % ZONES.len();
        let (order, kind, whom): (_, _, Vec<usize>) = match rng.random_range(0..18) {
            0..10 => (ProcessFault::Kill, "dispatcher_kill", vec![one]),
            10 => (ProcessFault::Kill, "zone_kill", all.filter(|n| n % ZONES.len() == zone).collect()),
            11 => (ProcessFault::Kill, "fleet_kill", all.collect()),
            // Longer than a session lasts, and shorter.
            _ => (ProcessFault::Pause(rng.random_range(0.5..6.0)), "dispatcher_pause", vec![one]),
        };
        whom.into_iter().for_each(|n| shared.supervisor.inject(n, order));
        *lock(counts).entry(kind).or_insert(0) += 1;
    }
}

/// Draws the schedule of the keepers' faults.
pub fn schedule(plan: &Plan) -> Schedule {
    if !plan.faults {
        return Schedule::default();
    }
    Schedule::draw(
        ScheduleParameters {
            processes: plan.replicas,
            seconds: plan.seconds,
            mean_interval_s: 1.5,
            longest_s: 2.5,
        },
        plan.seed,
    )
}

fn run_spec(plan: &Plan) -> RunSpec {
    RunSpec {
        dispatchers: plan.dispatchers,
        workers: plan.workers,
        fault_rate: 0.0,
        ..RunSpec::mixed(plan.seconds + 15.0, 0.5)
    }
}

/// All hands, each with workers of its own, until there is enough.
async fn hands(shared: Arc<Shared>) -> Result<()> {
    let drawn = crate::workload::plan::Plan::draw(&run_spec(&shared.plan), shared.plan.seed)?;
    let count = shared.plan.worker_budget as usize + 1;
    let all = (0..count).map(|hand| {
        let hosts: Vec<(usize, String)> = drawn
            .workers
            .iter()
            .enumerate()
            .skip(hand)
            .step_by(count)
            .map(|(n, w)| (n, w.host.clone()))
            .collect();
        let (shared, seed) = (&shared, shared.plan.seed.wrapping_mul(65_537) ^ (hand as u64 + 1) << 32);
        async move {
            if hosts.is_empty() {
                return Ok(());
            }
            shared.hands.work(&shared.office, &shared.supervisor, &hosts, seed, &shared.enough).await
        }
    });
    futures_util::future::try_join_all(all).await.map(drop)
}

async fn clients(
    plan: Plan, program: PathBuf, operator: Value, supervisor: Arc<Supervisor>,
) -> Result<Played> {
    let run_spec = run_spec(&plan);
    let (run_spec, operator, supervisor) = (&run_spec, &operator, Some(supervisor.as_ref()));
    Run { run_spec, seed: plan.seed, program: &program, operator, supervisor }.play().await
}

/// Runs it. Returns the figures and what was found, in words.
pub async fn run(plan: &Plan, program: &Path) -> Result<(Summary, Vec<String>)> {
    let folder =
        std::env::temp_dir().join(format!("pebblepost-harness-release-{}-{}", std::process::id(), plan.seed));
    let schedule = schedule(plan);
    let mut cluster = Cluster::start(program, plan.replicas, folder.clone()).await?;
    let named = |(i, at): (usize, &SocketAddr)| ((i + 1).to_string(), json!(at));
    let replicas: serde_json::Map<_, _> = cluster.client_addresses().iter().enumerate().map(named).collect();
    // With a copy each: what one has confirmed it knows over a restart.
    let copies = folder.join("copies");
    std::fs::create_dir_all(&copies)?;
    let operator = json!({"fleet": {"keepers": replicas, "version": "v0", "copy": copies}});
    let supervisor = Arc::new(Supervisor::of("v0", cluster.client_addresses()));
    let shared = Arc::new(Shared {
        plan: plan.clone(),
        office: Office {
            program: program.to_owned(),
            replicas: cluster.client_addresses(),
            killed: Mutex::default(),
        },
        supervisor: supervisor.clone(),
        enough: AtomicBool::new(false),
        halts: Mutex::default(),
        hands: Hands::default(),
        notes: Mutex::default(),
    });
    let mut client = shared.office.client();
    let budget = json!({"most": {"count": plan.budget.0}, "most_in_zone": {"count": plan.budget.1}});
    insist(&mut client, (30, 0), &json!({"budget": ["dispatcher", budget]})).await?;
    let budget = json!({"most": {"count": plan.worker_budget}});
    insist(&mut client, (30, 1), &json!({"budget": ["worker", budget]})).await?;
    let played = tokio::spawn(clients(plan.clone(), program.to_owned(), operator, supervisor.clone()));
    retry_until(Duration::from_secs(60), async || match progress(&mut client, "", GOES).await? {
        now if now.there >= plan.dispatchers => Ok(()),
        now => bail!("{} of {} dispatchers have joined and are ready", now.there, plan.dispatchers),
    })
    .await?;
    let work = tokio::spawn(releases(shared.clone()));
    let hands = tokio::spawn(hands(shared.clone()));
    let scribe = tokio::spawn({
        let shared = shared.clone();
        async move { scribe::follow(&shared.office.replicas, &shared.notes).await }
    });
    let counts = Mutex::new(schedule.counts_by_name());
    let ends = Instant::now() + Duration::from_secs_f64((plan.seconds - 20.0).max(5.0));
    let until_end = async {
        cluster.play(&schedule, |_| {}).await?;
        tokio::time::sleep_until(ends).await;
        anyhow::Ok(())
    };
    match plan.faults {
        true => tokio::select! {
            ended = until_end => ended?,
            () = orders(&shared, &counts) => {}
        },
        false => until_end.await?,
    }
    shared.enough.store(true, Ordering::Relaxed);
    cluster.end_all_faults()?;
    cluster.wait_for_replacement().await?;
    let mut found = Vec::new();
    let (course, ended) = work.await?;
    found.extend(ended.err().map(|error| error.to_string()));
    found.extend(hands.await?.err().map(|error| error.to_string()));
    scribe.abort();
    let stuck = progress(&mut client, "", "permit/").await?.permits;
    supervisor.finish();
    let played = played.await??;
    Ok(judge(&shared, &played, course, stuck, lock(&counts).clone(), found))
}

fn judge(
    shared: &Shared, played: &Played, course: Course, stuck_permits: usize,
    faults: BTreeMap<&'static str, usize>, mut found: Vec<String>,
) -> (Summary, Vec<String>) {
    let plan = &shared.plan;
    let outages = shared.supervisor.outages();
    let asked = by_permit(&outages);
    let (most, over) = most_at_once(&asked, plan.budget.0 as usize);
    let in_zone = |zone: usize| {
        let of: Vec<&Outage> = asked.iter().copied().filter(|o| o.dispatcher % ZONES.len() == zone).collect();
        most_at_once(&of, plan.budget.1 as usize)
    };
    let zones: Vec<(usize, f64)> = (0..ZONES.len()).map(in_zone).collect();
    let over = zones.iter().map(|(_, over)| *over).fold(over, f64::max);
    if over > 0.0 {
        found.push(format!("{most} were out by permits, for {over:.3} s more than the budget allows"));
    }
    let crash = |o: &&Outage| matches!(o.cause, OutageCause::Crash);
    found.extend(
        outages.iter().filter(crash).map(|o| format!("dispatcher {} crashed at {:.3}", o.dispatcher, o.from)),
    );
    found.extend(played.broken.iter().map(|b| format!("{:?} at {:.3}: {}", b.rule, b.at, b.what)));
    let offs = lock(&shared.hands.offs).clone();
    let off_most = most_off(&offs);
    if off_most > plan.worker_budget as usize {
        found.push(format!("{off_most} workers were off at once"));
    }
    let worked = work_while_off(&played.event, &offs, &shared.supervisor.exits());
    let mut waited: Vec<f64> = offs.iter().map(|o| o.waited * 1e3).collect();
    waited.sort_by(f64::total_cmp);
    let waited = |part: f64| waited.get((waited.len() as f64 * part) as usize).copied().unwrap_or(0.0);
    let notes = lock(&shared.notes).clone();
    found.extend(notes.over.iter().cloned());
    let halts = lock(&shared.halts).clone();
    let mut late = late_after(&asked, &halts);
    late.sort_by(f64::total_cmp);
    let p99 = late.get((late.len() as f64 * 0.99).ceil() as usize - usize::from(!late.is_empty()));
    let share = |hit: fn(&Outcome) -> bool| {
        let count = played.fates.iter().filter(|f| hit(&f.outcome)).count();
        count as f64 / played.fates.len().max(1) as f64
    };
    let median_out = |cause: OutageCause| {
        let mut all: Vec<f64> = outages.iter().filter(|o| o.cause == cause).map(|o| o.to - o.from).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(0.0) * 1e3
    };
    let reached = |flaw| shared.supervisor.max_dispatchers_with(flaw);
    let work_while_off = worked.len();
    found.extend(worked);
    let summary = Summary {
        workers_off: offs.len(),
        max_out_workers: off_most,
        budget_workers: plan.worker_budget,
        off_after_p50_ms: waited(0.5),
        off_after_p99_ms: waited(0.99),
        work_while_off,
        releases: course.begun,
        completed: course.completed,
        rolled_back: course.taken_back,
        bad_version_reached: Flaw::ALL.into_iter().map(reached).max().unwrap_or(0),
        crashing_reached: reached(Flaw::Crashes),
        refusing_reached: reached(Flaw::Refuses),
        halted: course.taken_back,
        grants: notes.grants[0],
        grants_to_workers: notes.grants[1],
        grants_over_budget: notes.over.len(),
        halts: halts.len(),
        went: asked.len(),
        max_out_dispatchers: most,
        max_out_in_zone: zones.iter().map(|(most, _)| *most).max().unwrap_or(0),
        budget_dispatchers: plan.budget.0,
        budget_in_zone: plan.budget.1,
        over_budget_ms: over * 1e3,
        max_out_for_any_reason: most_at_once(&outages.iter().collect::<Vec<_>>(), 0).0,
        stuck_permits,
        halt_p99_ms: p99.copied().unwrap_or(0.0) * 1e3,
        served_share: share(|o| matches!(o, Outcome::Served(_))),
        refused_share: share(|o| matches!(o, Outcome::Refused)),
        lost_share: share(|o| matches!(o, Outcome::Lost)),
        out_itself_p50_ms: median_out(OutageCause::Voluntary),
        out_ordered_p50_ms: median_out(OutageCause::Injected),
        drivers_killed: *lock(&shared.office.killed),
        faults,
        rules_broken: notes.over.len() + played.broken.len() + outages.iter().filter(crash).count(),
    };
    (summary, found)
}
