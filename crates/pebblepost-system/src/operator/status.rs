//! The commands `status` and `versions`, which read the state of a control node or a store machine over its
//! internal port.

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

/// Time limit for connecting to one process, and again for its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
const LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 16 * 1024 * 1024,
    max_queued_bytes: 1024 * 1024,
    connect_timeout: RESPONSE_TIMEOUT,
    read_timeout: RESPONSE_TIMEOUT,
};
/// Field of the state that `versions` prints.
const VERSIONS_FIELD: &str = "named_versions";
/// Field with the role of a control node.
const ROLE_FIELD: &str = "role";
/// Value of [`ROLE_FIELD`] at the primary.
const PRIMARY_ROLE: &str = "primary";

/// Prints the state of the control plane or, with `--store`, of a store machine.
///
/// # Errors
/// If no process responds, or if a state to print as tables is not valid JSON.
pub async fn print_status(arguments: &ArgMatches) -> Result<()> {
    let state = match arguments.get_one::<SocketAddr>("store") {
        Some(store) => fetch_store_state(*store).await?,
        None => fetch_control_state(arguments).await?,
    };
    print_state(arguments, state)
}

/// Prints the newest named weight version of each model.
///
/// # Errors
/// As [`print_status`], or if the state has no field `named_versions`.
pub async fn print_versions(arguments: &ArgMatches) -> Result<()> {
    let state = parse_state(&fetch_control_state(arguments).await?)?;
    let Some(versions) = state.get(VERSIONS_FIELD) else {
        bail!("the state of the control node has no field `{VERSIONS_FIELD}`")
    };
    print_state(arguments, simd_json::to_vec(versions)?)
}

/// Fetches the state of the primary, or of the first control node that responds if none of the addresses is
/// the primary's.
async fn fetch_control_state(arguments: &ArgMatches) -> Result<Vec<u8>> {
    let links = addresses(arguments, "link", Settings::control_link_addresses)?;
    let mut first_state = None;
    let mut last_failure = usage_error("no control address is given");
    for link in links {
        match fetch_control_state_at(link).await {
            Ok(state) if is_primary(&state) => return Ok(state),
            Ok(state) => first_state = first_state.or(Some(state)),
            Err(error) => last_failure = error,
        }
    }
    first_state.ok_or(last_failure)
}

fn is_primary(state: &[u8]) -> bool {
    parse_state(state).is_ok_and(|state| state.get_str(ROLE_FIELD) == Some(PRIMARY_ROLE))
}

async fn fetch_control_state_at(address: SocketAddr) -> Result<Vec<u8>> {
    let operation = || format!("requesting the state of the control node at {address}");
    let (sender, mut receiver) = connect(address, LINK_LIMITS).await.wrap_err_with(operation)?;
    if !sender.send(&ToControl::Status) {
        bail!("{}: the connection is closed", operation());
    }
    let response = async {
        loop {
            if let FromControl::Status(state) = receiver.receive().await? {
                return Ok(state);
            }
        }
    };
    with_timeout(response).await.wrap_err_with(operation)
}

async fn fetch_store_state(address: SocketAddr) -> Result<Vec<u8>> {
    let operation = || format!("requesting the state of the store machine at {address}");
    let (sender, mut receiver): (_, Receiver) =
        connect(address, LINK_LIMITS).await.wrap_err_with(operation)?;
    if !sender.send(&ToStore::Status) {
        bail!("{}: the connection is closed", operation());
    }
    let response = async {
        loop {
            if let FromStore::Status(state) = receiver.receive().await? {
                return Ok(state);
            }
        }
    };
    with_timeout(response).await.wrap_err_with(operation)
}

async fn with_timeout<T>(response: impl Future<Output = Result<T>>) -> Result<T> {
    timeout(RESPONSE_TIMEOUT, response).await.map_err(|_| eyre!("no response within {RESPONSE_TIMEOUT:?}"))?
}

fn parse_state(state: &[u8]) -> Result<OwnedValue> {
    simd_json::to_owned_value(&mut state.to_vec()).wrap_err("the state is not valid JSON")
}

/// Prints a state as JSON with `--json`, otherwise as text tables.
fn print_state(arguments: &ArgMatches, state: Vec<u8>) -> Result<()> {
    if arguments.get_flag("json") {
        println!("{}", String::from_utf8_lossy(&state));
    } else {
        print!("{}", text_table::render(&parse_state(&state)?));
    }
    Ok(())
}
