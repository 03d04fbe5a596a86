//! `status` and `versions`: ask a control process or a store over its internal port.

use super::error::bad_usage;
use super::{addresses, table};
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

/// How long one process may take to answer.
const PATIENCE: Duration = Duration::from_secs(2);
const LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: 16 * 1024 * 1024,
    max_queued_bytes: 1024 * 1024,
    connect_timeout: PATIENCE,
    read_timeout: PATIENCE,
};
/// Part of the state that `versions` prints.
const VERSIONS: &str = "named_versions";
/// What a control process says of itself, and what the one that knows everything says.
const ROLE: &str = "role";
const PRIMARY: &str = "primary";

/// Prints the state of the control plane or of a store.
pub async fn status(arguments: &ArgMatches) -> Result<()> {
    let state = match arguments.get_one::<SocketAddr>("store") {
        Some(store) => ask_store(*store).await?,
        None => ask_control(arguments).await?,
    };
    print(arguments, state)
}

/// Prints the named versions.
pub async fn versions(arguments: &ArgMatches) -> Result<()> {
    let state = read(&ask_control(arguments).await?)?;
    let Some(versions) = state.get(VERSIONS) else {
        bail!("the state of the control plane names no versions")
    };
    print(arguments, simd_json::to_vec(versions)?)
}

/// State of the primary if it is among the addresses; otherwise of the first that answers.
async fn ask_control(arguments: &ArgMatches) -> Result<Vec<u8>> {
    let links = addresses(arguments, "link", Settings::control_links)?;
    let mut first = None;
    let mut last_failure = bad_usage("no address to call".to_owned());
    for link in links {
        match ask_control_at(link).await {
            Ok(state) if is_primary(&state) => return Ok(state),
            Ok(state) => first = first.or(Some(state)),
            Err(error) => last_failure = error,
        }
    }
    first.ok_or(last_failure)
}

fn is_primary(state: &[u8]) -> bool {
    read(state).is_ok_and(|state| state.get_str(ROLE) == Some(PRIMARY))
}

async fn ask_control_at(address: SocketAddr) -> Result<Vec<u8>> {
    let what = || format!("asking the control at {address} for its state");
    let (sender, mut receiver) = connect(address, LIMITS).await.wrap_err_with(what)?;
    if !sender.send(&ToControl::Status) {
        bail!("{}: the link closed", what());
    }
    let answer = async {
        loop {
            if let FromControl::Status(state) = receiver.receive().await? {
                return Ok(state);
            }
        }
    };
    within_patience(answer).await.wrap_err_with(what)
}

async fn ask_store(address: SocketAddr) -> Result<Vec<u8>> {
    let what = || format!("asking the store at {address} for its state");
    let (sender, mut receiver): (_, Receiver) = connect(address, LIMITS).await.wrap_err_with(what)?;
    if !sender.send(&ToStore::Status) {
        bail!("{}: the link closed", what());
    }
    let answer = async {
        loop {
            if let FromStore::Status(state) = receiver.receive().await? {
                return Ok(state);
            }
        }
    };
    within_patience(answer).await.wrap_err_with(what)
}

async fn within_patience<T>(answer: impl Future<Output = Result<T>>) -> Result<T> {
    timeout(PATIENCE, answer).await.map_err(|_| eyre!("no answer in {PATIENCE:?}"))?
}

fn read(state: &[u8]) -> Result<OwnedValue> {
    simd_json::to_owned_value(&mut state.to_vec()).wrap_err("reading the state")
}

fn print(arguments: &ArgMatches, state: Vec<u8>) -> Result<()> {
    if arguments.get_flag("json") {
        println!("{}", String::from_utf8_lossy(&state));
    } else {
        print!("{}", table::render(&read(&state)?));
    }
    Ok(())
}
