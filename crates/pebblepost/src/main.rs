//! The program `pebblepost`, which runs the daemon, a replica of the fleet store or an operator's command.

use clap::{Parser, Subcommand};
use pebblepost::{config, daemon, operator, store_replica};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;

/// A dispatcher for queues of jobs. Without a command it runs; README.md tells of its environment.
// The doc comments on `Cli` and `Command` are the help texts of the program, which an approved file of the tests contains.
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
    // The handler is registered first, because SIGHUP ends a process that has no handler for it.
    let reload = UnixStream::pair().and_then(|(reload, notify)| {
        signal_hook::low_level::pipe::register(SIGHUP, notify)?;
        Ok(reload)
    });
    let cli = Cli::parse();
    let result = match cli.command {
        None => reload.map_err(Into::into).and_then(|reload| run_daemon(reload, cli.operator)),
        Some(Command::Keep { file }) => {
            init_replica_log();
            store_replica::run(&file).map_err(Into::into)
        }
        Some(Command::Fleet(args)) => {
            if let Err(error) = operator::run(args) {
                print_error(&error);
                return error.exit_code();
            }
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&*error);
            ExitCode::FAILURE
        }
    }
}

fn print_error(error: &dyn std::fmt::Display) {
    eprintln!("pebblepost: {error}");
}

/// Sends the replica's log to standard error. The environment variable `RUST_LOG` sets the filter.
fn init_replica_log() {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| "info,openraft=error".into());
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(std::io::stderr).init();
}

fn run_daemon(reload: UnixStream, operator: Option<PathBuf>) -> Result<(), Box<dyn std::error::Error>> {
    let config = config::read(|name| std::env::var(name).ok(), operator.as_deref())?;
    let (stop, notify) = UnixStream::pair()?;
    for signal in [SIGTERM, SIGINT] {
        signal_hook::low_level::pipe::register(signal, notify.try_clone()?)?;
    }
    // `eprintln!` would panic if the reader of standard error has closed it.
    let log = |line: &str| drop(writeln!(std::io::stderr(), "pebblepost: {line}"));
    // On a reload `PROXY_DISCOVERY` is ignored, so that a changed discovery address in the file takes effect.
    let reload_variable = |name: &str| std::env::var(name).ok().filter(|_| name != "PROXY_DISCOVERY");
    let read_config = Box::new(move || config::read(reload_variable, operator.as_deref()));
    let signals = daemon::Signals { stop, reload, read_config };
    Ok(daemon::Daemon::new(config, signals, log)?.run()?)
}
