//! The commands `config get`, `config put`, `config patch` and `config check`.

use super::control_addresses;
use super::control_api::{ApiRequest, send};
use super::error::{rejection, usage_error};
use bytes::Bytes;
use clap::ArgMatches;
use eyre::Result;
use http::{Method, StatusCode};
use pebblepost_configuration::Configuration;
use simd_json::prelude::{ValueAsScalar, ValueObjectAccess};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const CONFIG_PATH: &str = "/config";
/// Value of the argument FILE that selects standard input.
const STANDARD_INPUT: &str = "-";

/// Runs a `config` subcommand.
///
/// # Errors
/// If an argument or the file is invalid, or if the control plane rejects the request or can't be reached.
pub async fn run(arguments: &ArgMatches) -> Result<()> {
    match arguments.subcommand() {
        Some(("get", arguments)) => get(arguments).await,
        Some(("put", arguments)) => send_change(Method::PUT, arguments).await,
        Some(("patch", arguments)) => send_change(Method::PATCH, arguments).await,
        Some(("check", arguments)) => check(arguments),
        _ => Err(usage_error("config: the subcommand is missing")),
    }
}

async fn get(arguments: &ArgMatches) -> Result<()> {
    let response = send(&control_addresses(arguments)?, &ApiRequest::get(CONFIG_PATH)).await?;
    let response = response.require_success("reading the configuration")?;
    let mut output = std::io::stdout().lock();
    output.write_all(&response.body)?;
    output.write_all(b"\n")?;
    Ok(())
}

async fn send_change(method: Method, arguments: &ArgMatches) -> Result<()> {
    let document = read_document(arguments)?;
    let generation = read_generation(&document)
        .ok_or_else(|| usage_error("the document has no field `generation` with a whole number"))?;
    let controls = control_addresses(arguments)?;
    let base = match arguments.get_one::<u64>("base") {
        Some(base) => *base,
        None => fetch_generation_in_force(&controls).await?,
    };
    let request = ApiRequest {
        method,
        path: CONFIG_PATH.to_owned(),
        if_match: Some(base),
        body: Bytes::from(document),
    };
    send(&controls, &request)
        .await?
        .require_success(&format!("sending version {generation} based on version {base}"))?;
    println!("version {generation} is in force");
    Ok(())
}

fn check(arguments: &ArgMatches) -> Result<()> {
    let document = read_document(arguments)?;
    let configuration = Configuration::parse(&document).map_err(|invalid| rejection(invalid.to_string()))?;
    let (routes, services) = (configuration.routes().len(), configuration.services().len());
    println!("ok: version {}, {routes} routes, {services} services", configuration.generation());
    Ok(())
}

/// Fetches the generation of the configuration in force. It is 0 if there is no configuration yet.
async fn fetch_generation_in_force(controls: &[SocketAddr]) -> Result<u64> {
    let response = send(controls, &ApiRequest::get(CONFIG_PATH)).await?;
    if response.status == StatusCode::NOT_FOUND {
        return Ok(0);
    }
    let response = response.require_success("reading the version in force")?;
    Ok(read_generation(&response.body).unwrap_or(0))
}

/// Returns the field `generation`, or `None` if the document isn't JSON or lacks it.
fn read_generation(document: &[u8]) -> Option<u64> {
    let mut bytes = document.to_vec();
    let value = simd_json::to_borrowed_value(&mut bytes).ok()?;
    value.get("generation")?.as_u64()
}

/// Reads the file named by the argument FILE, or standard input.
fn read_document(arguments: &ArgMatches) -> Result<Vec<u8>> {
    let path = arguments.get_one::<PathBuf>("file").ok_or_else(|| usage_error("argument FILE is missing"))?;
    let mut bytes = Vec::new();
    let read = if path == Path::new(STANDARD_INPUT) {
        std::io::stdin().read_to_end(&mut bytes).map(drop)
    } else {
        std::fs::read(path).map(|content| bytes = content)
    };
    read.map_err(|error| usage_error(format!("cannot read {}: {error}", path.display())))?;
    Ok(bytes)
}
