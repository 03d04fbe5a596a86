//! Commands for operators.

mod configuration;
mod error;
mod http;
mod retire;
mod status;
mod table;

pub use error::exit_code_of;

use clap::ArgMatches;
use error::bad_usage;
use eyre::{Result, WrapErr};
use pebblepost_settings::Settings;
use std::net::SocketAddr;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Carries out an operator's command.
pub fn run(name: &str, arguments: &ArgMatches) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("starting the runtime")?;
    let work = async {
        match name {
            "status" => status::status(arguments).await,
            "versions" => status::versions(arguments).await,
            "config" => configuration::run(arguments).await,
            "retire" => retire::run(arguments).await,
            _ => Err(bad_usage(format!("unknown command {name}"))),
        }
    };
    runtime.block_on(LocalSet::new().run_until(work))
}

/// Addresses that the command line gives, or else those that the settings give.
fn addresses(
    arguments: &ArgMatches, option: &str, of_settings: impl Fn(&Settings) -> Vec<SocketAddr>,
) -> Result<Vec<SocketAddr>> {
    if let Some(given) = arguments.get_many::<SocketAddr>(option) {
        return Ok(given.copied().collect());
    }
    let settings = Settings::from_environment().map_err(|error| {
        bad_usage(format!("--{option} is not given, and the settings give none: {error:#}"))
    })?;
    let found = of_settings(&settings);
    if found.is_empty() {
        return Err(bad_usage(format!("--{option} is not given, and the settings name no seeds")));
    }
    Ok(found)
}

/// Control addresses to call.
fn control_addresses(arguments: &ArgMatches) -> Result<Vec<SocketAddr>> {
    addresses(arguments, "control", |settings| settings.seeds.clone())
}
