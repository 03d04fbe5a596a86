//! `status` and `versions`: read the state of a control process or a store over its internal port.

use super::error::usage_error;
use super::{addresses, text_table};
use clap::ArgMatches;
use eyre::{Result, WrapErr, bail, eyre};
use pebblepost_link::{LinkLimits, Receiver, connect};
use pebblepost_messages::batch::{FromStore, ToStore};
use pebblepost_messages::control::{FromControl, ToControl};
use pebblepost_settings::Settings;
use simd_json::OwnedValue;
use simd_json::prelude::{ValueObjectAccess, ValueObjectAccessAsScalar};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Time for one process to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
const LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 16 * 1024 * 1024,
    max_queued_bytes: 1024 * 1024,
    connect_timeout: RESPONSE_TIMEOUT,
    read_timeout: RESPONSE_TIMEOUT,
};
/// Part of the state that `versions` prints.
const VERSIONS: &str = "named_versions";
/// Field with the role of a control process, and its value at the primary.
const ROLE: &str = "role";
const PRIMARY: &str = "primary";

/// Prints the state of the control plane or of a store.
///
/// # Errors
/// If no process responds, or its state can't be read.
pub async fn status(arguments: &ArgMatches) -> Result<()> {
    let state = match arguments.get_one::<SocketAddr>("store") {
        Some(store) => store_state(*store).await?,
        None => control_state(arguments).await?,
    };
    print(arguments, state)
}

/// Prints the named versions.
///
/// # Errors
/// As [`status`], or if the state has no versions.
pub async fn versions(arguments: &ArgMatches) -> Result<()> {
    let state = read(&control_state(arguments).await?)?;
    let Some(versions) = state.get(VERSIONS) else {
        bail!("the state of the control plane names no versions")
    };
    print(arguments, simd_json::to_vec(versions)?)
}

/// State of the primary if it is among the addresses; otherwise of the first process that responds.
async fn control_state(arguments: &ArgMatches) -> Result<Vec<u8>> {
    let links = addresses(arguments, "link", Settings::control_link_addresses)?;
    let mut first_state = None;
    let mut last_failure = usage_error("no address to call");
    for link in links {
        match control_state_at(link).await {
            Ok(state) if is_primary(&state) => return Ok(state),
            Ok(state) => first_state = first_state.or(Some(state)),
            Err(error) => last_failure = error,
        }
    }
    first_state.ok_or(last_failure)
}

fn is_primary(state: &[u8]) -> bool {
    read(state).is_ok_and(|state| state.get_str(ROLE) == Some(PRIMARY))
}

async fn control_state_at(address: SocketAddr) -> Result<Vec<u8>> {
    let what = || format!("asking the control at {address} for its state");
    let (sender, mut receiver) = connect(address, LIMITS).await.wrap_err_with(what)?;
    if !sender.send(&ToControl::Status) {
        bail!("{}: the link closed", what());
    }
    let response = async {
        loop {
            if let FromControl::Status(state) = receiver.receive().await? {
                return Ok(state);
            }
        }
    };
    with_timeout(response).await.wrap_err_with(what)
}

async fn store_state(address: SocketAddr) -> Result<Vec<u8>> {
    let what = || format!("asking the store at {address} for its state");
    let (sender, mut receiver): (_, Receiver) = connect(address, LIMITS).await.wrap_err_with(what)?;
    if !sender.send(&ToStore::Status) {
        bail!("{}: the link closed", what());
    }
    let response = async {
        loop {
            if let FromStore::Status(state) = receiver.receive().await? {
                return Ok(state);
            }
        }
    };
    with_timeout(response).await.wrap_err_with(what)
}

async fn with_timeout<T>(response: impl Future<Output = Result<T>>) -> Result<T> {
    timeout(RESPONSE_TIMEOUT, response).await.map_err(|_| eyre!("no answer in {RESPONSE_TIMEOUT:?}"))?
}

fn read(state: &[u8]) -> Result<OwnedValue> {
    simd_json::to_owned_value(&mut state.to_vec()).wrap_err("reading the state")
}

fn print(arguments: &ArgMatches, state: Vec<u8>) -> Result<()> {
    if arguments.get_flag("json") {
        println!("{}", String::from_utf8_lossy(&state));
    } else {
        print!("{}", text_table::render(&read(&state)?));
    }
    Ok(())
}
