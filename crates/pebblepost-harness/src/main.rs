//! The command line of the rig.

#![forbid(unsafe_code)]

use anyhow::Result;
use clap::{Args, Parser, Subcommand};
use pebblepost_harness::workload::spec::{HintSpec, QueueOrder, RunSpec};
use pebblepost_harness::{cpu_cost, dispatcher, fleet, release, reservations, store};
use std::path::PathBuf;

/// Measured runs of real pebblepost processes on loopback.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Large jobs among small ones, with the room on and off.
    Room(Room),
    /// CPU for each request with jobs all alike: two programs in turn, or the room on and off.
    Cpu(Cpu),
    /// Many dispatchers through a herd restart, a lost zone and a mass replacement.
    Fleet(Fleet),
    /// Keepers of the agreed store under faults between them: what was acknowledged must last, and no read be old.
    Store(Store),
    /// Releases by doubled drivers under faults: never more dispatchers out than the budget allows.
    Release(Release),
}

#[derive(Args)]
struct Release {
    /// Dispatchers.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=200))]
    dispatchers: u16,
    /// Workers.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=200))]
    workers: u16,
    /// Replicas of the agreed store.
    #[arg(long = "keepers", value_name = "KEEPERS", default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=9))]
    replicas: u8,
    /// Most dispatchers out at once.
    #[arg(long, default_value_t = 3)]
    budget: u32,
    /// Most of them in a zone.
    #[arg(long, default_value_t = 2)]
    budget_in_zone: u32,
    /// Most workers out at once.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=50))]
    worker_budget: u32,
    /// Seconds for which a wave that is back is watched, three times that at most while too few answers tell.
    #[arg(long, default_value_t = 3.0)]
    watch_s: f64,
    /// Seconds of faults and releases.
    #[arg(long, default_value_t = 120.0)]
    seconds: f64,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Nothing goes wrong.
    #[arg(long)]
    no_faults: bool,
    /// How dispatchers are brought to a new version.
    #[arg(long, default_value = "permits")]
    mode: release::plan::Mode,
    /// Print one JSON object as the last line.
    #[arg(long)]
    json: bool,
    /// The program to measure; built and taken from beside this one by default.
    #[arg(long)]
    program: Option<PathBuf>,
}

#[derive(Args)]
struct Store {
    /// Replicas of the agreed store.
    #[arg(long = "keepers", value_name = "KEEPERS", default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=9))]
    replicas: u8,
    /// Clients of the store that change and read at the same time.
    #[arg(long = "desks", value_name = "DESKS", default_value_t = 6)]
    clients: usize,
    /// Dispatchers that follow the group while clients ask them for work.
    #[arg(long, default_value_t = 2)]
    dispatchers: usize,
    /// Seconds of work under faults.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Pause between two operations of a desk, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pause_ms: u64,
    /// Plays this schedule (JSON, as `--print` gives it) instead of the seed's.
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// Prints the schedule and plays nothing.
    #[arg(long)]
    print: bool,
    /// Measures instead what the store does to the clients of dispatchers, over so many rounds.
    #[arg(long, value_name = "ROUNDS")]
    serving: Option<usize>,
    /// Has so many dispatchers come back at once instead.
    #[arg(long = "herd", value_name = "DISPATCHERS", conflicts_with = "serving")]
    mass_restart: Option<usize>,
    /// Leaves out the faults of these numbers, to shrink a finding.
    #[arg(long, value_delimiter = ',')]
    without: Vec<usize>,
    /// Print one JSON object as the last line.
    #[arg(long)]
    json: bool,
    /// The program to measure; built and taken from beside this one by default.
    #[arg(long)]
    program: Option<PathBuf>,
}

#[derive(Args)]
struct Fleet {
    /// Dispatchers.
    #[arg(long, default_value_t = 20)]
    dispatchers: usize,
    /// Workers.
    #[arg(long, default_value_t = 15)]
    workers: usize,
    /// Seconds of arrivals in each scenario.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print one JSON object as the last line.
    #[arg(long)]
    json: bool,
    /// The program to measure; built and taken from beside this one by default.
    #[arg(long)]
    program: Option<PathBuf>,
}

#[derive(Args)]
struct Cpu {
    /// Seconds of arrivals in each round.
    #[arg(long, default_value_t = 8.0)]
    seconds: f64,
    /// Rounds that count.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The program to measure; built and taken from beside this one by default.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Another program to compare it with; by default the same with the room off.
    #[arg(long)]
    against: Option<PathBuf>,
}

#[derive(Args)]
struct Room {
    /// Seconds of arrivals at each load.
    #[arg(long, default_value_t = 30.0)]
    seconds: f64,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print one JSON object as the last line.
    #[arg(long)]
    json: bool,
    /// Loads to play, as parts of what the fleet can do.
    #[arg(long, value_delimiter = ',', default_values_t = reservations::LOADS)]
    loads: Vec<f64>,
    /// The order of the workers' queues; drawn by the seed by default.
    #[arg(long)]
    order: Option<QueueOrder>,
    /// Dispatchers.
    #[arg(long, default_value_t = 3)]
    dispatchers: usize,
    /// Workers.
    #[arg(long, default_value_t = 10)]
    workers: usize,
    /// Hints are wrong by this factor ...
    #[arg(long, default_value_t = 1.0)]
    hint_factor: f64,
    /// ... for this share of the jobs.
    #[arg(long, default_value_t = 0.0)]
    hint_share: f64,
    /// Clients give no hints.
    #[arg(long)]
    no_hints: bool,
    /// Share of large jobs.
    #[arg(long, default_value_t = 0.03)]
    large_share: f64,
    /// Shares of large jobs that take one slot, two, and four.
    #[arg(long, value_delimiter = ',', default_values_t = [0.7, 0.3, 0.0], num_args = 1..)]
    slots: Vec<f64>,
    /// Faults of each kind in ten minutes.
    #[arg(long, default_value_t = 1.0)]
    faults: f64,
    /// The program to measure; built and taken from beside this one by default.
    #[arg(long)]
    program: Option<PathBuf>,
}

fn main() -> Result<()> {
    match Cli::parse().command {
        Command::Room(args) => play_room(args),
        Command::Cpu(args) => play_cpu(args),
        Command::Fleet(args) => play_fleet(args),
        Command::Store(args) => play_store(args),
        Command::Release(args) => play_release(args),
    }
}

fn play_store(args: Store) -> Result<()> {
    let plan = store::plan::Plan {
        replicas: usize::from(args.replicas),
        clients: args.clients.max(1),
        seconds: args.seconds.max(1.0),
        seed: args.seed,
        pause_ms: args.pause_ms,
        dispatchers: args.dispatchers.min(50),
    };
    let schedule = match &args.schedule {
        Some(path) => serde_json::from_str(&std::fs::read_to_string(path)?)?,
        None => plan.schedule(),
    };
    let schedule = schedule.without(&args.without);
    if args.print {
        println!("{}", serde_json::to_string(&schedule)?);
        return Ok(());
    }
    let program = args.program.map_or_else(dispatcher::build_program, Ok)?;
    if let Some(dispatchers) = args.mass_restart {
        let report =
            threads()?.block_on(store::mass_restart::measure(&program, dispatchers.clamp(1, 1_000)))?;
        println!("{}", serde_json::to_string(&report)?);
        return Ok(());
    }
    if let Some(rounds) = args.serving {
        let report =
            threads()?.block_on(store::client_impact::measure(&program, args.seconds, rounds, args.seed))?;
        println!("{}", serde_json::to_string(&report)?);
        return Ok(());
    }
    let (summary, found) = threads()?.block_on(store::run::run(&plan, &schedule, &program))?;
    found.iter().for_each(|line| println!("found: {line}"));
    println!("{}", if args.json { serde_json::to_string(&summary)? } else { format!("{summary:#?}") });
    Ok(())
}

fn play_release(args: Release) -> Result<()> {
    let plan = release::plan::Plan {
        dispatchers: usize::from(args.dispatchers),
        workers: usize::from(args.workers),
        replicas: usize::from(args.replicas),
        budget: release::plan::DisruptionBudget { total: args.budget, per_zone: args.budget_in_zone },
        worker_budget: args.worker_budget,
        watch_s: args.watch_s.clamp(0.1, 60.0),
        seconds: args.seconds.max(1.0),
        seed: args.seed,
        faults: !args.no_faults,
        mode: args.mode,
    };
    let program = args.program.map_or_else(dispatcher::build_program, Ok)?;
    let (summary, found) = threads()?.block_on(release::run::run(&plan, &program))?;
    found.iter().for_each(|line| println!("found: {line}"));
    println!("{}", if args.json { serde_json::to_string(&summary)? } else { format!("{summary:#?}") });
    Ok(())
}

fn threads() -> Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?)
}

fn play_cpu(args: Cpu) -> Result<()> {
    let program = args.program.map_or_else(dispatcher::build_program, Ok)?;
    let (on, off) = (reservations::operator(true), reservations::operator(false));
    let first = cpu_cost::Side { program: &program, operator: &on };
    let second = match &args.against {
        Some(other) => cpu_cost::Side { program: other, operator: &on },
        None => cpu_cost::Side { program: &program, operator: &off },
    };
    let report =
        threads()?.block_on(cpu_cost::measure(&first, &second, args.seconds, args.rounds, args.seed))?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}

fn play_fleet(args: Fleet) -> Result<()> {
    let program = args.program.map_or_else(dispatcher::build_program, Ok)?;
    let (dispatchers, workers) = (args.dispatchers.max(1), args.workers.max(1));
    let size = fleet::Size { dispatchers, workers, seconds: args.seconds.max(1.0) };
    let (lines, all) = threads()?.block_on(fleet::measure(size, args.seed, &program))?;
    lines.iter().for_each(|line| println!("{line}"));
    if args.json {
        println!("{}", serde_json::to_string(&all)?);
    }
    Ok(())
}

fn play_room(args: Room) -> Result<()> {
    let program = args.program.map_or_else(dispatcher::build_program, Ok)?;
    let [one, two, four] = args.slots[..] else {
        anyhow::bail!("--slots: three shares, for 1, 2 and 4 slots")
    };
    if (one + two + four - 1.0).abs() > 1e-6 {
        anyhow::bail!("--slots: the shares sum to {}, not 1", one + two + four);
    }
    let run_spec = RunSpec {
        order: args.order,
        large_slots: [one, two, four],
        dispatchers: args.dispatchers.max(1),
        workers: args.workers.max(1),
        hints: HintSpec { sent: !args.no_hints, factor: args.hint_factor, share: args.hint_share },
        large_share: args.large_share,
        fault_rate: args.faults,
        ..RunSpec::mixed(args.seconds, 0.0)
    };
    let report = threads()?.block_on(reservations::measure(&run_spec, &args.loads, args.seed, &program))?;
    println!("{}", reservations::table(&report));
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}
