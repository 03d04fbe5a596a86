//! The daemon.

#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use pebblepost::{config, operator, store_replica, turn};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;

/// A dispatcher for queues of jobs. Without a command it runs; README.md tells of its environment.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Cli {
    /// The operator's file.
    #[arg(long, env = "PEBBLEPOST_OPERATOR", value_name = "FILE")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a keeper of the agreed store.
    Keep {
        /// The keeper's file.
        file: PathBuf,
    },
    /// Asks the keepers, or has them change something.
    Fleet(operator::FleetArgs),
}

fn main() -> ExitCode {
    // First of all: from the start SIGHUP ends nothing.
    let reload = UnixStream::pair().and_then(|(reload, notify)| {
        signal_hook::low_level::pipe::register(SIGHUP, notify)?;
        Ok(reload)
    });
    let cli = Cli::parse();
    let told = |error: &dyn std::fmt::Display| {
        eprintln!("pebblepost: {error}");
        ExitCode::FAILURE
    };
    let result = match cli.command {
        None => reload.map_err(Into::into).and_then(|reload| run(reload, cli.operator)),
        Some(Command::Keep { file }) => {
            log_lines();
            store_replica::run(&file).map_err(Into::into)
        }
        Some(Command::Fleet(args)) => {
            if let Err(error) = operator::run(args) {
                told(&error);
                return error.exit_code();
            }
            Ok(())
        }
    };
    result.map_or_else(|error| told(&*error), |()| ExitCode::SUCCESS)
}

/// The keeper's log goes to standard error; `RUST_LOG` says how much of it.
fn log_lines() {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| "info,openraft=error".into());
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(std::io::stderr).init();
}

fn run(reload: UnixStream, operator: Option<PathBuf>) -> Result<(), Box<dyn std::error::Error>> {
    let config = config::read(|name| std::env::var(name).ok(), operator.as_deref())?;
    let (stop, notify) = UnixStream::pair()?;
    for kind in [SIGTERM, SIGINT] {
        signal_hook::low_level::pipe::register(kind, notify.try_clone()?)?;
    }
    // `eprintln!` would panic if whoever reads the log has gone.
    let log = |line: &str| drop(writeln!(std::io::stderr(), "pebblepost: {line}"));
    // The environment speaks of the start only; the file may name another discovery since.
    let var = |name: &str| std::env::var(name).ok().filter(|_| name != "PROXY_DISCOVERY");
    let read = Box::new(move || config::read(var, operator.as_deref()));
    Ok(turn::Daemon::new(config, turn::Signals { stop, reload, read }, log)?.run()?)
}
