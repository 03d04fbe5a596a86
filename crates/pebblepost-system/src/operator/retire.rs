//! `retire`: has a store machine emptied.

use super::control_addresses;
use super::error::bad_usage;
use super::http::{Call, send};
use bytes::Bytes;
use clap::ArgMatches;
use eyre::{Result, bail};
use http::Method;
use simd_json::prelude::{ValueAsScalar, ValueObjectAccess};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const ASK_EVERY: Duration = Duration::from_millis(500);
/// How many times the given duration `--wait` waits.
const PATIENCE: u32 = 10;
const COMPLETED: &str = "completed";

/// Carries out the command.
pub async fn run(arguments: &ArgMatches) -> Result<()> {
    let node = arguments.get_one::<String>("node").ok_or_else(|| bad_usage("NODE is missing".to_owned()))?;
    if node.is_empty() || !node.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/') {
        return Err(bad_usage(format!("{node:?} is no name of a machine")));
    }
    let seconds = arguments.get_one::<u64>("duration-s").copied().unwrap_or(1);
    let controls = control_addresses(arguments)?;
    let path = format!("/retire/{node}");
    let body = Bytes::from(format!("{{\"duration_s\":{seconds}}}"));
    let order = Call { method: Method::POST, path: path.clone(), if_match: None, body };
    send(&controls, &order).await?.accepted(&format!("retiring {node}"))?;
    if !arguments.get_flag("wait") {
        println!("{node} is being emptied");
        return Ok(());
    }
    wait(&controls, &path, node, Duration::from_secs(seconds.max(1)) * PATIENCE).await
}

async fn wait(controls: &[SocketAddr], path: &str, node: &str, most: Duration) -> Result<()> {
    let deadline = Instant::now() + most;
    while Instant::now() < deadline {
        let answer = send(controls, &Call::get(path)).await?.accepted(&format!("asking for {node}"))?;
        if state_of(&answer.body).as_deref() == Some(COMPLETED) {
            println!("{node} is empty and can be taken away");
            return Ok(());
        }
        sleep(ASK_EVERY).await;
    }
    bail!("{node} is still being emptied after {most:?}")
}

fn state_of(body: &[u8]) -> Option<String> {
    let mut bytes = body.to_vec();
    let value = simd_json::to_borrowed_value(&mut bytes).ok()?;
    value.get("state")?.as_str().map(str::to_owned)
}
