//! `retire`: has the control plane move everything off a store machine.

use super::control_addresses;
use super::control_api::{ApiRequest, send};
use super::error::usage_error;
use bytes::Bytes;
use clap::ArgMatches;
use eyre::{Result, bail};
use http::Method;
use simd_json::prelude::{ValueAsScalar, ValueObjectAccess};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval of requests for the state with `--wait`.
const POLL_PERIOD: Duration = Duration::from_millis(500);
/// `--wait` times out after this many times the given duration.
const WAIT_FACTOR: u32 = 10;
const COMPLETED: &str = "completed";

/// Runs the command.
///
/// # Errors
/// If the arguments are wrong, the control plane rejects the request or can't be reached, or the
/// machine is not empty in time.
pub async fn run(arguments: &ArgMatches) -> Result<()> {
    let node = arguments.get_one::<String>("node").ok_or_else(|| usage_error("NODE is missing"))?;
    if node.is_empty() || !node.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/') {
        return Err(usage_error(format!("{node:?} is no name of a machine")));
    }
    let seconds = arguments.get_one::<u64>("duration-s").copied().unwrap_or(1);
    let controls = control_addresses(arguments)?;
    let path = format!("/retire/{node}");
    let body = Bytes::from(format!("{{\"duration_s\":{seconds}}}"));
    let order = ApiRequest { method: Method::POST, path: path.clone(), if_match: None, body };
    send(&controls, &order).await?.success(&format!("retiring {node}"))?;
    if !arguments.get_flag("wait") {
        println!("{node} is being emptied");
        return Ok(());
    }
    wait(&controls, &path, node, Duration::from_secs(seconds.max(1)) * WAIT_FACTOR).await
}

async fn wait(controls: &[SocketAddr], path: &str, node: &str, time_limit: Duration) -> Result<()> {
    let deadline = Instant::now() + time_limit;
    while Instant::now() < deadline {
        let response =
            send(controls, &ApiRequest::get(path)).await?.success(&format!("asking for {node}"))?;
        if state_of(&response.body).as_deref() == Some(COMPLETED) {
            println!("{node} is empty and can be taken away");
            return Ok(());
        }
        sleep(POLL_PERIOD).await;
    }
    bail!("{node} is still being emptied after {time_limit:?}")
}

fn state_of(body: &[u8]) -> Option<String> {
    let mut bytes = body.to_vec();
    let value = simd_json::to_borrowed_value(&mut bytes).ok()?;
    value.get("state")?.as_str().map(str::to_owned)
}
