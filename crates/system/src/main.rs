//! One binary with a subcommand for each role and for operators.

use clap::Command;
use eyre::Result;
use pebblepost_settings::Settings;

fn command_line() -> Command {
    Command::new("pebblepost-system")
        .about("Rollout scheduler for trainers")
        .subcommand_required(true)
        .subcommand(Command::new("proxy").about("Serves clients and executes batch items (edge machines)"))
        .subcommand(Command::new("agent").about("Feeds the proxy of its machine (edge machines)"))
        .subcommand(Command::new("control").about("Holds the control state (core machines)"))
        .subcommand(Command::new("store").about("Holds batch jobs (storage machines)"))
        .subcommand(Command::new("check").about("Checks the settings file and ends"))
}

fn main() -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let matches = command_line().get_matches();
    let settings = Settings::from_environment()?;
    match matches.subcommand_name() {
        Some("proxy") => pebblepost_proxy::run(settings),
        Some("agent") => pebblepost_agent::run(settings),
        Some("control") => pebblepost_control::run(settings),
        Some("store") => pebblepost_batch_store::run(settings),
        _ => Ok(()),
    }
}
