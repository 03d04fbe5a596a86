//! `config get`, `put`, `patch` and `check`.

use super::control_addresses;
use super::control_api::{ApiRequest, send};
use super::error::{rejected, usage_error};
use bytes::Bytes;
use clap::ArgMatches;
use eyre::Result;
use http::{Method, StatusCode};
use pebblepost_configuration::Configuration;
use simd_json::prelude::{ValueAsScalar, ValueObjectAccess};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const PATH: &str = "/config";
const STANDARD_INPUT: &str = "-";

/// Runs a `config` command.
///
/// # Errors
/// If the arguments or a file are wrong, or the control plane rejects the request or can't be reached.
pub async fn run(arguments: &ArgMatches) -> Result<()> {
    match arguments.subcommand() {
        Some(("get", arguments)) => get(arguments).await,
        Some(("put", arguments)) => change(Method::PUT, arguments).await,
        Some(("patch", arguments)) => change(Method::PATCH, arguments).await,
        Some(("check", arguments)) => check(arguments),
        _ => Err(usage_error("config: which command?")),
    }
}

async fn get(arguments: &ArgMatches) -> Result<()> {
    let response = send(&control_addresses(arguments)?, &ApiRequest::get(PATH)).await?;
    let response = response.success("reading the configuration")?;
    let mut output = std::io::stdout().lock();
    output.write_all(&response.body)?;
    output.write_all(b"\n")?;
    Ok(())
}

async fn change(method: Method, arguments: &ArgMatches) -> Result<()> {
    let document = read_file(arguments)?;
    let generation = generation_of(&document).ok_or_else(|| usage_error("the document has no generation"))?;
    let controls = control_addresses(arguments)?;
    let base = match arguments.get_one::<u64>("base") {
        Some(base) => *base,
        None => generation_in_force(&controls).await?,
    };
    let request =
        ApiRequest { method, path: PATH.to_owned(), if_match: Some(base), body: Bytes::from(document) };
    send(&controls, &request).await?.success(&format!("version {generation} on top of {base}"))?;
    println!("version {generation} is in force");
    Ok(())
}

fn check(arguments: &ArgMatches) -> Result<()> {
    let document = read_file(arguments)?;
    let checked = Configuration::parse(&document).map_err(|invalid| rejected(invalid.to_string()))?;
    let (routes, services) = (checked.routes().len(), checked.services().len());
    println!("ok: version {}, {routes} routes, {services} services", checked.generation());
    Ok(())
}

/// Generation of the configuration in force; 0 if there is none.
async fn generation_in_force(controls: &[SocketAddr]) -> Result<u64> {
    let response = send(controls, &ApiRequest::get(PATH)).await?;
    if response.status == StatusCode::NOT_FOUND {
        return Ok(0);
    }
    let response = response.success("reading the version in force")?;
    Ok(generation_of(&response.body).unwrap_or(0))
}

fn generation_of(document: &[u8]) -> Option<u64> {
    let mut bytes = document.to_vec();
    let value = simd_json::to_borrowed_value(&mut bytes).ok()?;
    value.get("generation")?.as_u64()
}

fn read_file(arguments: &ArgMatches) -> Result<Vec<u8>> {
    let path = arguments.get_one::<PathBuf>("file").ok_or_else(|| usage_error("FILE is missing"))?;
    let mut bytes = Vec::new();
    let read = if path == Path::new(STANDARD_INPUT) {
        std::io::stdin().read_to_end(&mut bytes).map(drop)
    } else {
        std::fs::read(path).map(|content| bytes = content)
    };
    read.map_err(|error| usage_error(format!("reading {}: {error}", path.display())))?;
    Ok(bytes)
}
