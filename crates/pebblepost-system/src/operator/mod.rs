//! The operators' commands: stateless clients of the control plane and of store machines.
//!
//! Modules `configuration`, `retire` and `status` implement the commands. Module `control_api` sends HTTP
//! requests, `text_table` renders states as text, and `error` maps errors to exit codes.

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

/// Runs an operator's command to completion.
///
/// # Errors
/// If the command fails. [`exit_code_of`] returns the exit code for the error, if it has its own.
pub fn run(name: &str, arguments: &ArgMatches) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("starting the runtime")?;
    let command = async {
        match name {
            "status" => status::print_status(arguments).await,
            "versions" => status::print_versions(arguments).await,
            "config" => configuration::run(arguments).await,
            "retire" => retire::run(arguments).await,
            _ => Err(usage_error(format!("unknown command {name}"))),
        }
    };
    runtime.block_on(LocalSet::new().run_until(command))
}

/// Returns the addresses given with a command-line option, or those from the settings if it is not given.
fn addresses(
    arguments: &ArgMatches, option: &str, from_settings: impl Fn(&Settings) -> Vec<SocketAddr>,
) -> Result<Vec<SocketAddr>> {
    if let Some(given) = arguments.get_many::<SocketAddr>(option) {
        return Ok(given.copied().collect());
    }
    let settings = Settings::from_environment().map_err(|error| {
        usage_error(format!("--{option} is not given, and the settings cannot be read: {error:#}"))
    })?;
    let addresses = from_settings(&settings);
    if addresses.is_empty() {
        return Err(usage_error(format!("--{option} is not given, and the settings list no seeds")));
    }
    Ok(addresses)
}

/// Returns the addresses of the control plane's HTTP interface.
fn control_addresses(arguments: &ArgMatches) -> Result<Vec<SocketAddr>> {
    addresses(arguments, "control", |settings| settings.seeds.clone())
}
