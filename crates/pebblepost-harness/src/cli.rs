//! The commands and options of the harness.

use clap::{Args, Parser, Subcommand};
use pebblepost_harness::release::plan::Mode;
use pebblepost_harness::reservations;
use pebblepost_harness::workload::spec::QueueOrder;
use std::path::PathBuf;

/// Measured runs of real pebblepost processes on loopback.
#[derive(Parser)]
#[command(version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Large jobs among small ones, with reservations on and off.
    Room(Room),
    /// CPU time for each request with equal jobs: two programs in turn, or reservations on and off.
    Cpu(Cpu),
    /// Many dispatchers through a mass restart, a lost zone and a mass replacement.
    Fleet(Fleet),
    /// Replicas of the agreed store under faults: no acknowledged change is lost, and no read is stale.
    Store(Store),
    /// Releases by two drivers under faults: never more dispatchers out than the budget allows.
    Release(Release),
}

#[derive(Args)]
pub(crate) struct Release {
    /// Dispatchers.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=200))]
    pub(crate) dispatchers: u16,
    /// Workers.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=200))]
    pub(crate) workers: u16,
    /// Replicas of the agreed store.
    #[arg(long = "keepers", value_name = "KEEPERS", default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=9))]
    pub(crate) replicas: u8,
    /// Most dispatchers out at once.
    #[arg(long, default_value_t = 3)]
    pub(crate) budget: u32,
    /// Most of them in a zone.
    #[arg(long, default_value_t = 2)]
    pub(crate) budget_in_zone: u32,
    /// Most workers out at once.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=50))]
    pub(crate) worker_budget: u32,
    /// Seconds for which a wave that is back is observed, at most three times that while there are too few answers.
    #[arg(long, default_value_t = 3.0)]
    pub(crate) watch_s: f64,
    /// Seconds of faults and releases.
    #[arg(long, default_value_t = 120.0)]
    pub(crate) seconds: f64,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Inject no faults.
    #[arg(long)]
    pub(crate) no_faults: bool,
    /// How dispatchers are brought to a new version.
    #[arg(long, default_value = "permits")]
    pub(crate) mode: Mode,
    /// Print one JSON object as the last line.
    #[arg(long)]
    pub(crate) json: bool,
    /// The program to measure; built and taken from beside this one by default.
    #[arg(long)]
    pub(crate) program: Option<PathBuf>,
}

#[derive(Args)]
pub(crate) struct Store {
    /// Replicas of the agreed store.
    #[arg(long = "keepers", value_name = "KEEPERS", default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=9))]
    pub(crate) replicas: u8,
    /// Clients of the store that change and read at the same time.
    #[arg(long = "desks", value_name = "DESKS", default_value_t = 6)]
    pub(crate) clients: usize,
    /// Dispatchers that follow the store while they serve requests.
    #[arg(long, default_value_t = 2)]
    pub(crate) dispatchers: usize,
    /// Seconds of work under faults.
    #[arg(long, default_value_t = 60.0)]
    pub(crate) seconds: f64,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Pause between two operations of a client, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub(crate) pause_ms: u64,
    /// Play this schedule (JSON, as `--print` gives it) instead of the seed's.
    #[arg(long)]
    pub(crate) schedule: Option<PathBuf>,
    /// Print the schedule and play nothing.
    #[arg(long)]
    pub(crate) print: bool,
    /// Measure instead what the store does to the clients of dispatchers, over so many rounds.
    #[arg(long, value_name = "ROUNDS")]
    pub(crate) serving: Option<usize>,
    /// Measure instead how so many dispatchers join that come back at once.
    #[arg(long = "herd", value_name = "DISPATCHERS", conflicts_with = "serving")]
    pub(crate) mass_restart: Option<usize>,
    /// Leave out the faults of these numbers, to shrink a failing run.
    #[arg(long, value_delimiter = ',')]
    pub(crate) without: Vec<usize>,
    /// Print one JSON object as the last line.
    #[arg(long)]
    pub(crate) json: bool,
    /// The program to measure; built and taken from beside this one by default.
    #[arg(long)]
    pub(crate) program: Option<PathBuf>,
}

#[derive(Args)]
pub(crate) struct Fleet {
    /// Dispatchers.
    #[arg(long, default_value_t = 20)]
    pub(crate) dispatchers: usize,
    /// Workers.
    #[arg(long, default_value_t = 15)]
    pub(crate) workers: usize,
    /// Seconds of arrivals in each run.
    #[arg(long, default_value_t = 20.0)]
    pub(crate) seconds: f64,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Print one JSON object as the last line.
    #[arg(long)]
    pub(crate) json: bool,
    /// The program to measure; built and taken from beside this one by default.
    #[arg(long)]
    pub(crate) program: Option<PathBuf>,
}

#[derive(Args)]
pub(crate) struct Cpu {
    /// Seconds of arrivals in each round.
    #[arg(long, default_value_t = 8.0)]
    pub(crate) seconds: f64,
    /// Rounds that count.
    #[arg(long, default_value_t = 5)]
    pub(crate) rounds: usize,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// The program to measure; built and taken from beside this one by default.
    #[arg(long)]
    pub(crate) program: Option<PathBuf>,
    /// Another program to compare it with; by default the same with reservations off.
    #[arg(long)]
    pub(crate) against: Option<PathBuf>,
}

#[derive(Args)]
pub(crate) struct Room {
    /// Seconds of arrivals at each load.
    #[arg(long, default_value_t = 30.0)]
    pub(crate) seconds: f64,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Print one JSON object as the last line.
    #[arg(long)]
    pub(crate) json: bool,
    /// Loads to play, as shares of the workers' capacity.
    #[arg(long, value_delimiter = ',', default_values_t = reservations::DEFAULT_LOADS)]
    pub(crate) loads: Vec<f64>,
    /// The order of the workers' queues; drawn by the seed by default.
    #[arg(long)]
    pub(crate) order: Option<QueueOrder>,
    /// Dispatchers.
    #[arg(long, default_value_t = 3)]
    pub(crate) dispatchers: usize,
    /// Workers.
    #[arg(long, default_value_t = 10)]
    pub(crate) workers: usize,
    /// Factor by which wrong hints are off.
    #[arg(long, default_value_t = 1.0)]
    pub(crate) hint_factor: f64,
    /// Share of the hints that are wrong.
    #[arg(long, default_value_t = 0.0)]
    pub(crate) hint_share: f64,
    /// Clients give no hints.
    #[arg(long)]
    pub(crate) no_hints: bool,
    /// Share of large jobs.
    #[arg(long, default_value_t = 0.03)]
    pub(crate) large_share: f64,
    /// Shares of large jobs that take one slot, two, and four.
    #[arg(long, value_delimiter = ',', default_values_t = [0.7, 0.3, 0.0], num_args = 1..)]
    pub(crate) slots: Vec<f64>,
    /// Faults of each kind in ten minutes.
    #[arg(long, default_value_t = 1.0)]
    pub(crate) faults: f64,
    /// The program to measure; built and taken from beside this one by default.
    #[arg(long)]
    pub(crate) program: Option<PathBuf>,
}
