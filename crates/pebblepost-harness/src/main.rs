//! The command line program: executes the requested measurement and prints its results.

#![forbid(unsafe_code)]

mod cli;

use anyhow::Result;
use clap::Parser;
use cli::{Cli, Command, Cpu, Fleet, Release, Room, Store};
use pebblepost_harness::workload::spec::{HintSpec, RunSpec};
use pebblepost_harness::{cpu_cost, dispatcher, fleet, release, reservations, store};

fn main() -> Result<()> {
    match Cli::parse().command {
        Command::Room(args) => run_reservations(args),
        Command::Cpu(args) => run_cpu(args),
        Command::Fleet(args) => run_fleet(args),
        Command::Store(args) => run_store(args),
        Command::Release(args) => run_release(args),
    }
}

fn run_store(args: Store) -> Result<()> {
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
            runtime()?.block_on(store::mass_restart::measure(&program, dispatchers.clamp(1, 1_000)))?;
        println!("{}", serde_json::to_string(&report)?);
        return Ok(());
    }
    if let Some(rounds) = args.serving {
        let report =
            runtime()?.block_on(store::client_impact::measure(&program, args.seconds, rounds, args.seed))?;
        println!("{}", serde_json::to_string(&report)?);
        return Ok(());
    }
    let (summary, found) = runtime()?.block_on(store::run::run_trial(&plan, &schedule, &program))?;
    found.iter().for_each(|line| println!("found: {line}"));
    println!("{}", if args.json { serde_json::to_string(&summary)? } else { format!("{summary:#?}") });
    Ok(())
}

fn run_release(args: Release) -> Result<()> {
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
    let (summary, found) = runtime()?.block_on(release::run::run_trial(&plan, &program))?;
    found.iter().for_each(|line| println!("found: {line}"));
    println!("{}", if args.json { serde_json::to_string(&summary)? } else { format!("{summary:#?}") });
    Ok(())
}

fn runtime() -> Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?)
}

fn run_cpu(args: Cpu) -> Result<()> {
    let program = args.program.map_or_else(dispatcher::build_program, Ok)?;
    let (on, off) = (reservations::operator_file(true), reservations::operator_file(false));
    let first = cpu_cost::Candidate { program: &program, operator: &on };
    let second = match &args.against {
        Some(other) => cpu_cost::Candidate { program: other, operator: &on },
        None => cpu_cost::Candidate { program: &program, operator: &off },
    };
    let report =
        runtime()?.block_on(cpu_cost::measure(&first, &second, args.seconds, args.rounds, args.seed))?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}

fn run_fleet(args: Fleet) -> Result<()> {
    let program = args.program.map_or_else(dispatcher::build_program, Ok)?;
    let (dispatchers, workers) = (args.dispatchers.max(1), args.workers.max(1));
    let size = fleet::FleetSize { dispatchers, workers, seconds: args.seconds.max(1.0) };
    let (lines, all) = runtime()?.block_on(fleet::measure(size, args.seed, &program))?;
    lines.iter().for_each(|line| println!("{line}"));
    if args.json {
        println!("{}", serde_json::to_string(&all)?);
    }
    Ok(())
}

fn run_reservations(args: Room) -> Result<()> {
    let program = args.program.map_or_else(dispatcher::build_program, Ok)?;
    let [one, two, four] = args.slots[..] else {
        anyhow::bail!("--slots: expected three shares, for 1, 2 and 4 slots, but got {}", args.slots.len())
    };
    if (one + two + four - 1.0).abs() > 1e-6 {
        anyhow::bail!("--slots: the shares must sum to 1, but sum to {}", one + two + four);
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
    let report = runtime()?.block_on(reservations::measure(&run_spec, &args.loads, args.seed, &program))?;
    println!("{}", reservations::table(&report));
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}
