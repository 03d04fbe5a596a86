//! The command `retire`, which has the control plane move all data off a store machine.

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

/// Interval at which `--wait` queries the state of the retirement.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// `--wait` times out after this multiple of the given duration.
const WAIT_TIMEOUT_FACTOR: u32 = 10;
/// Value of the field `state` once the machine is empty.
const COMPLETED_STATE: &str = "completed";

/// Requests the retirement of a store machine and, with `--wait`, waits until the machine is empty.
///
/// # Errors
/// If an argument is invalid, the control plane rejects the request or can't be reached, or the machine is
/// not empty before `--wait` times out.
pub async fn run(arguments: &ArgMatches) -> Result<()> {
    let node = arguments.get_one::<String>("node").ok_or_else(|| usage_error("argument NODE is missing"))?;
    if node.is_empty() || !node.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/') {
        return Err(usage_error(format!(
            "invalid machine name {node:?}: expected printable ASCII characters without spaces and '/'"
        )));
    }
    let seconds = arguments.get_one::<u64>("duration-s").copied().unwrap_or(1);
    let controls = control_addresses(arguments)?;
    let path = format!("/retire/{node}");
    let body = Bytes::from(format!("{{\"duration_s\":{seconds}}}"));
    let request = ApiRequest { method: Method::POST, path: path.clone(), if_match: None, body };
    send(&controls, &request).await?.require_success(&format!("retiring {node}"))?;
    if !arguments.get_flag("wait") {
        println!("{node} is being emptied");
        return Ok(());
    }
    wait_until_empty(&controls, &path, node, Duration::from_secs(seconds.max(1)) * WAIT_TIMEOUT_FACTOR).await
}

async fn wait_until_empty(
    controls: &[SocketAddr], path: &str, node: &str, wait_timeout: Duration,
) -> Result<()> {
    let deadline = Instant::now() + wait_timeout;
    while Instant::now() < deadline {
        let response = send(controls, &ApiRequest::get(path))
            .await?
            .require_success(&format!("querying the retirement of {node}"))?;
        if read_state(&response.body).as_deref() == Some(COMPLETED_STATE) {
            println!("{node} is empty and can be taken away");
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    bail!("retiring {node}: not completed within {wait_timeout:?}")
}

/// Returns the field `state`, or `None` if the body isn't JSON or lacks it.
fn read_state(body: &[u8]) -> Option<String> {
    let mut bytes = body.to_vec();
    let value = simd_json::to_borrowed_value(&mut bytes).ok()?;
    value.get("state")?.as_str().map(str::to_owned)
}
