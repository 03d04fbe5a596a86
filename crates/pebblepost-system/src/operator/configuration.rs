//! `config get`, `put`, `patch` and `check`.

use super::control_addresses;
use super::error::{bad_usage, refused};
use super::http::{Call, send};
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

/// Carries out a `config` command.
pub async fn run(arguments: &ArgMatches) -> Result<()> {
    match arguments.subcommand() {
        Some(("get", arguments)) => get(arguments).await,
        Some(("put", arguments)) => change(Method::PUT, arguments).await,
        Some(("patch", arguments)) => change(Method::PATCH, arguments).await,
        Some(("check", arguments)) => check(arguments),
        _ => Err(bad_usage("config: which command?".to_owned())),
    }
}

async fn get(arguments: &ArgMatches) -> Result<()> {
    let answer = send(&control_addresses(arguments)?, &Call::get(PATH)).await?;
    let answer = answer.accepted("reading the configuration")?;
    let mut output = std::io::stdout().lock();
    output.write_all(&answer.body)?;
    output.write_all(b"\n")?;
    Ok(())
}

async fn change(method: Method, arguments: &ArgMatches) -> Result<()> {
    let document = read_file(arguments)?;
    let generation =
        generation_of(&document).ok_or_else(|| bad_usage("the document has no generation".into()))?;
    let controls = control_addresses(arguments)?;
    let base = match arguments.get_one::<u64>("base") {
        Some(base) => *base,
        None => generation_in_force(&controls).await?,
    };
    let call = Call { method, path: PATH.to_owned(), if_match: Some(base), body: Bytes::from(document) };
    send(&controls, &call).await?.accepted(&format!("version {generation} on top of {base}"))?;
    println!("version {generation} is in force");
    Ok(())
}

fn check(arguments: &ArgMatches) -> Result<()> {
    let document = read_file(arguments)?;
    let checked = Configuration::parse(&document).map_err(|invalid| refused(invalid.to_string()))?;
    let (routes, services) = (checked.routes().len(), checked.services().len());
    println!("ok: version {}, {routes} routes, {services} services", checked.generation());
    Ok(())
}

/// The version in force; 0 where there is none yet.
async fn generation_in_force(controls: &[SocketAddr]) -> Result<u64> {
    let answer = send(controls, &Call::get(PATH)).await?;
    if answer.status == StatusCode::NOT_FOUND {
        return Ok(0);
    }
    let answer = answer.accepted("reading the version in force")?;
    Ok(generation_of(&answer.body).unwrap_or(0))
}

fn generation_of(document: &[u8]) -> Option<u64> {
    let mut bytes = document.to_vec();
    let value = simd_json::to_borrowed_value(&mut bytes).ok()?;
    value.get("generation")?.as_u64()
}

fn read_file(arguments: &ArgMatches) -> Result<Vec<u8>> {
    let path = arguments.get_one::<PathBuf>("file").ok_or_else(|| bad_usage("FILE is missing".to_owned()))?;
    let mut bytes = Vec::new();
    let read = if path == Path::new(STANDARD_INPUT) {
        std::io::stdin().read_to_end(&mut bytes).map(drop)
    } else {
        std::fs::read(path).map(|content| bytes = content)
    };
    read.map_err(|error| bad_usage(format!("reading {}: {error}", path.display())))?;
    Ok(bytes)
}
