//! The subcommand `pebblepost fleet`, with which an operator queries or changes the fleet store.
//!
//! Each command sends requests and prints the responses. No state is kept between commands.

mod arguments;
mod client;
mod commands;
mod error;
mod files;
mod local;
mod permits;
mod releases;
mod replicas;
mod text;
mod view;

pub use arguments::FleetArgs;
pub use error::{AgentProblem, FileProblem, FleetError, StatusError};

use arguments::FleetCommand;
use client::{Format, OperatorClient};
use error::Result;
use pebblepost_fleet_store::client::Client;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

const TIMEOUT_RANGE_S: RangeInclusive<f64> = 0.01..=3_600.0;

/// Executes one operator command.
///
/// # Errors
///
/// Fails if the arguments are invalid, the command is rejected or fails, or no replica responds.
pub fn run(args: FleetArgs) -> Result<()> {
    if let FleetCommand::Local { address, action, worker, reason } = &args.command {
        return local::run(*address, *action, worker.as_ref(), reason, parse_timeout(args.timeout_s)?);
    }
    if args.replicas.is_empty() {
        return Err(FleetError::NoReplicas);
    }
    let timeout = parse_timeout(args.timeout_s)?;
    if let Some((_, address)) = args.replicas.iter().find(|(_, address)| !address.ip().is_loopback()) {
        return Err(FleetError::NotLoopback(*address));
    }
    let issuer = args.issuer.parse().map_err(FleetError::Issuer)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(FleetError::Runtime)?;
    let replicas = args.replicas.iter().map(|(id, address)| (*id, address.to_string()));
    let replicas: BTreeMap<u64, String> = replicas.collect();
    let client = Client::new(replicas.clone());
    let format = if args.json { Format::Json } else { Format::Text };
    let mut client = OperatorClient { client, replicas, timeout, issuer, format };
    runtime.block_on(client.execute(args.command))
}

fn parse_timeout(seconds: f64) -> Result<Duration> {
    if TIMEOUT_RANGE_S.contains(&seconds) {
        Ok(Duration::from_secs_f64(seconds))
    } else {
        Err(FleetError::TimeoutOutOfRange)
    }
}
