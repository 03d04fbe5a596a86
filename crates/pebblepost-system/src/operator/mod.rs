//! Commands for operators: thin clients of the control plane that keep no state.
//!
//! `configuration`, `retire` and `status` each run a command; `control_api` sends HTTP requests,
//! `text_table` renders states, `error` has the exit codes.

mod configuration;
mod control_api;
mod error;
mod retire;
mod status;
mod text_table;

pub use error::exit_code_of;

use clap::ArgMatches;
use error::usage_error;
use eyre::{Result, WrapErr};
use pebblepost_settings::Settings;
use std::net::SocketAddr;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs an operator's command.
///
/// # Errors
/// If the command fails; [`exit_code_of`] gives the exit code.
pub fn run(name: &str, arguments: &ArgMatches) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("starting the runtime")?;
    let work = async {
        match name {
            "status" => status::status(arguments).await,
            "versions" => status::versions(arguments).await,
            "config" => configuration::run(arguments).await,
            "retire" => retire::run(arguments).await,
            _ => Err(usage_error(format!("unknown command {name}"))),
        }
    };
    runtime.block_on(LocalSet::new().run_until(work))
}

/// Addresses of a command-line option, or else of the settings.
fn addresses(
    arguments: &ArgMatches, option: &str, from_settings: impl Fn(&Settings) -> Vec<SocketAddr>,
) -> Result<Vec<SocketAddr>> {
    if let Some(given) = arguments.get_many::<SocketAddr>(option) {
        return Ok(given.copied().collect());
    }
    let settings = Settings::from_environment().map_err(|error| {
        usage_error(format!("--{option} is not given, and the settings give none: {error:#}"))
    })?;
    let addresses = from_settings(&settings);
    if addresses.is_empty() {
        return Err(usage_error(format!("--{option} is not given, and the settings name no seeds")));
    }
    Ok(addresses)
}

/// Addresses of the control plane's HTTP interface.
fn control_addresses(arguments: &ArgMatches) -> Result<Vec<SocketAddr>> {
    addresses(arguments, "control", |settings| settings.seeds.clone())
}
