//! `rig release`: releases one after another, each by two drivers, under a schedule of faults.

use super::witness::{Halt, by_permit, late_after, most_at_once};
use crate::clients::Outcome;
use crate::dispatcher::ZONES;
use crate::fault::schedule::{Draw, Schedule};
use crate::run::{Played, Run};
use crate::scenario::Scenario;
use crate::standin::lock;
use crate::store::desk::{Desk, Leader};
use crate::store::group::{Group, until};
use crate::supervisor::{How, Order, Outage, Supervisor};
use anyhow::{Context, Result, bail};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// After the faults a release must have ended within this.
const TAIL: Duration = Duration::from_secs(90);
const PATIENCE: Duration = Duration::from_secs(4);

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
    pub keepers: usize,
    /// Most dispatchers out at once, and in each zone.
    pub budget: (u32, u32),
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
    /// How long after a halt was acknowledged the last one went: 99th percentile of the halts.
    pub halt_p99_ms: f64,
    /// Part of the clients' requests that was served.
    pub served_share: f64,
    /// Drivers that were killed.
    pub drivers_killed: usize,
    /// Faults of the keepers by kind, and orders to dispatchers.
    pub faults: BTreeMap<&'static str, usize>,
    /// Rules of the dispatchers that were broken, and processes that ended by an error.
    pub rules_broken: usize,
}

struct Shared {
    plan: Plan,
    program: PathBuf,
    outside: Vec<SocketAddr>,
    supervisor: Arc<Supervisor>,
    /// No further release begins.
    enough: AtomicBool,
    halts: Mutex<Vec<Halt>>,
    drivers_killed: Mutex<usize>,
}

impl Shared {
    fn desk(&self) -> Desk {
        Desk::new(self.outside.clone(), Leader::default())
    }

    fn subjects(&self) -> Vec<String> {
        (0..self.plan.dispatchers).map(|n| format!("dispatcher/n{n}")).collect()
    }
}

/// A command with one operation.
fn operation(id: (u64, u64), op: &Value) -> Value {
    let act = json!({"change": {"ops": [op], "expect": [], "why": "rig"}});
    json!({"command": {"id": [id.0, id.1], "by": "rig", "at_ms": 0, "act": act}})
}

/// Has an operation done, however long that takes under faults.
async fn insist(desk: &mut Desk, id: (u64, u64), op: &Value) -> Result<()> {
    let command = operation(id, op);
    let end = Instant::now() + TAIL;
    loop {
        match desk.ask(&command, PATIENCE).await {
            Ok(say) if say.pointer("/answer/Ok").is_some() => return Ok(()),
            Ok(say) => bail!("{op}: {say}"),
            Err(error) if Instant::now() >= end => return Err(error),
            Err(_) => {}
        }
    }
}

/// The members that are there, ready and of this version; and the permits left.
async fn progress(desk: &mut Desk, version: &str) -> Result<(usize, usize)> {
    let say = desk.ask(&json!({"get": []}), PATIENCE).await?;
    let entries = say.pointer("/found/entries").and_then(Value::as_object);
    let entries = entries.with_context(|| format!("no entries: {say}"))?;
    let there = |entry: &&Value| {
        let member = &entry["value"]["member"];
        let card = &member["card"];
        member["presence"] == "here"
            && card["ready"] == true
            && (version.is_empty() || card["version"] == version)
    };
    let permits = entries.keys().filter(|k| k.starts_with("permit/")).count();
    Ok((entries.values().filter(there).count(), permits))
}

/// A driver, as a process: it asks for permits for all, and is killed the first times, wherever it is by then.
async fn drive(shared: &Shared, version: &str, mut rng: Pcg64Mcg) -> Result<()> {
    let named = shared.outside.iter().enumerate().map(|(i, at)| format!("{}={at}", i + 1));
    let keepers = named.collect::<Vec<_>>().join(",");
    let mut kills = rng.random_range(0..3);
    let end = Instant::now() + TAIL;
    loop {
        let mut driver = tokio::process::Command::new(&shared.program);
        driver.args(["fleet", "--keepers", &keepers, "--by", "driver", "permit", "ask", "--want", version]);
        driver.args(shared.subjects()).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        let mut driver = driver.kill_on_drop(true).spawn()?;
        if kills > 0 {
            kills -= 1;
            let _ = timeout(Duration::from_millis(rng.random_range(1..60)), driver.wait()).await;
            driver.kill().await?;
            *lock(&shared.drivers_killed) += 1;
            sleep(Duration::from_millis(rng.random_range(0..300))).await;
        } else if driver.wait().await?.success() {
            return Ok(());
        } else if Instant::now() >= end {
            bail!("a driver's request is not taken");
        }
    }
}

/// One release by permits: two drivers at once, a halt in the middle, until all are of the version.
async fn release(shared: &Shared, number: u64, version: &str) -> Result<()> {
    let mut rng = Pcg64Mcg::seed_from_u64(shared.plan.seed.wrapping_mul(7_919) ^ number);
    let mut desk = shared.desk();
    let other = Pcg64Mcg::seed_from_u64(rng.random());
    tokio::try_join!(
        drive(shared, version, Pcg64Mcg::seed_from_u64(rng.random())),
        drive(shared, version, other)
    )?;
    sleep(Duration::from_millis(rng.random_range(200..4_000))).await;
    insist(&mut desk, (31, number), &json!({"halt": "dispatcher"})).await?;
    let halted = shared.supervisor.now();
    sleep(Duration::from_millis(rng.random_range(1_000..3_000))).await;
    lock(&shared.halts).push((halted, shared.supervisor.now()));
    insist(&mut desk, (32, number), &json!({"resume": "dispatcher"})).await?;
    let all = shared.plan.dispatchers;
    let end = Instant::now() + TAIL + Duration::from_secs(3 * all as u64);
    loop {
        let now = progress(&mut desk, version).await;
        if now.as_ref().is_ok_and(|now| *now == (all, 0)) {
            return Ok(());
        }
        if Instant::now() >= end {
            bail!("release {version} has not ended: members as wanted and permits left: {now:?}");
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Releases one after another until there are enough; how many were begun, and how many ended.
async fn releases(shared: Arc<Shared>) -> Result<(usize, usize)> {
    let (mut begun, mut ended) = (0, 0);
    while !shared.enough.load(Ordering::Relaxed) {
        begun += 1;
        let version = format!("v{begun}");
        shared.supervisor.wants(&version);
        match shared.plan.mode {
            Mode::Permits => release(&shared, begun as u64, &version).await?,
            Mode::AtOnce => {
                (0..shared.plan.dispatchers).for_each(|n| shared.supervisor.order(n, Order::Stop));
                sleep(Duration::from_secs(20)).await;
            }
            Mode::None => sleep(Duration::from_secs(20)).await,
        }
        ended += 1;
    }
    Ok((begun, ended))
}

/// Kills and pauses dispatchers, for as long as it is polled.
async fn orders(shared: &Shared, counts: &Mutex<BTreeMap<&'static str, usize>>) {
    let mut rng = Pcg64Mcg::seed_from_u64(shared.plan.seed ^ 0xd15);
    loop {
        sleep(Duration::from_secs_f64(rng.random_range(3.0..9.0))).await;
        let (order, kind) = match rng.random_range(0..3) {
            0 | 1 => (Order::Kill, "dispatcher_kill"),
            // Longer than a session lasts, and shorter.
            _ => (Order::Pause(rng.random_range(0.5..6.0)), "dispatcher_pause"),
        };
        shared.supervisor.order(rng.random_range(0..shared.plan.dispatchers), order);
        *lock(counts).entry(kind).or_insert(0) += 1;
    }
}

/// Draws the schedule of the keepers' faults.
pub fn schedule(plan: &Plan) -> Schedule {
    if !plan.faults {
        return Schedule::default();
    }
    Schedule::draw(
        Draw { processes: plan.keepers, seconds: plan.seconds, every: 1.5, longest: 2.5 },
        plan.seed,
    )
}

async fn clients(
    plan: Plan, program: PathBuf, operator: Value, supervisor: Arc<Supervisor>,
) -> Result<Played> {
    let scenario = Scenario {
        dispatchers: plan.dispatchers,
        workers: plan.workers,
        faults: 0.0,
        ..Scenario::mixed(plan.seconds + 15.0, 0.5)
    };
    let (scenario, operator, supervisor) = (&scenario, &operator, Some(supervisor.as_ref()));
    Run { scenario, seed: plan.seed, program: &program, operator, supervisor }.play().await
}

/// Runs it. Returns the figures and what was found, in words.
pub async fn run(plan: &Plan, program: &Path) -> Result<(Summary, Vec<String>)> {
    let folder =
        std::env::temp_dir().join(format!("pebblepost-rig-release-{}-{}", std::process::id(), plan.seed));
    let schedule = schedule(plan);
    let mut group = Group::start(program, plan.keepers, folder).await?;
    let named = |(i, at): (usize, &SocketAddr)| ((i + 1).to_string(), json!(at));
    let keepers: serde_json::Map<_, _> = group.outside().iter().enumerate().map(named).collect();
    let operator = json!({"fleet": {"keepers": keepers, "version": "v0"}});
    let supervisor = Arc::new(Supervisor::of("v0"));
    let shared = Arc::new(Shared {
        plan: plan.clone(),
        program: program.to_owned(),
        outside: group.outside(),
        supervisor: supervisor.clone(),
        enough: AtomicBool::new(false),
        halts: Mutex::default(),
        drivers_killed: Mutex::default(),
    });
    let mut desk = shared.desk();
    let budget = json!({"most": {"count": plan.budget.0}, "most_in_zone": {"count": plan.budget.1}});
    insist(&mut desk, (30, 0), &json!({"budget": ["dispatcher", budget]})).await?;
    let played = tokio::spawn(clients(plan.clone(), program.to_owned(), operator, supervisor.clone()));
    until(Duration::from_secs(60), async || match progress(&mut desk, "").await? {
        (there, _) if there >= plan.dispatchers => Ok(()),
        (there, _) => bail!("{there} of {} dispatchers have joined and are ready", plan.dispatchers),
    })
    .await?;
    let work = tokio::spawn(releases(shared.clone()));
    let counts = Mutex::new(schedule.kinds());
    let ends = Instant::now() + Duration::from_secs_f64((plan.seconds - 20.0).max(5.0));
    let until_end = async {
        group.play(&schedule, |_| {}).await?;
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
    group.heal()?;
    group.mended().await?;
    let mut found = Vec::new();
    let (releases, completed) = match work.await? {
        Ok(counted) => counted,
        Err(error) => {
            found.push(error.to_string());
            (1, 0)
        }
    };
    let stuck = progress(&mut desk, "").await?.1;
    let played = played.await??;
    Ok(judge(&shared, &played, (releases, completed), stuck, lock(&counts).clone(), found))
}

fn judge(
    shared: &Shared, played: &Played, (releases, completed): (usize, usize), stuck_permits: usize,
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
    let crash = |o: &&Outage| matches!(o.how, How::Crash);
    found.extend(
        outages.iter().filter(crash).map(|o| format!("dispatcher {} crashed at {:.3}", o.dispatcher, o.from)),
    );
    found.extend(played.broken.iter().map(|b| format!("{:?} at {:.3}: {}", b.rule, b.at, b.what)));
    let halts = lock(&shared.halts).clone();
    let mut late = late_after(&asked, &halts);
    late.sort_by(f64::total_cmp);
    let p99 = late.get((late.len() as f64 * 0.99).ceil() as usize - usize::from(!late.is_empty()));
    let served = played.fates.iter().filter(|f| matches!(f.outcome, Outcome::Served(_))).count();
    let summary = Summary {
        releases,
        completed,
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
        served_share: served as f64 / played.fates.len().max(1) as f64,
        drivers_killed: *lock(&shared.drivers_killed),
        faults,
        rules_broken: played.broken.len() + outages.iter().filter(crash).count(),
    };
    (summary, found)
}
