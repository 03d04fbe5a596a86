//! Measures how many dispatchers that come back at once join the store, and what that does to it.

use super::client::{Leader, StoreClient};
use super::cluster::Cluster;
use super::retry::retry_until;
use crate::fault::managed_process::ManagedProcess;
use anyhow::{Context, Result, bail};
use serde::Serialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// The figures.
#[derive(Clone, Debug, Serialize)]
pub struct MassRestartReport {
    /// Dispatchers.
    pub dispatchers: usize,
    /// From their first start until the store had all of them as members, in seconds.
    pub joined_s: f64,
    /// The same after all were killed and started again at once.
    pub joined_again_s: f64,
    /// Revisions that it took: two for each is one join and one more.
    pub revisions: u64,
    /// Elections meanwhile.
    pub elections: u64,
    /// Slowest change of a client meanwhile, in milliseconds.
    pub slowest_change_ms: f64,
}

fn start(program: &Path, folder: &Path, number: usize, replicas: &Value) -> Result<ManagedProcess> {
    // An address of its own: among hundreds of processes a port that was free a moment ago may be in use.
    let [high, low] = u16::try_from(number)?.to_be_bytes();
    let listen = SocketAddr::from(([127, 3, high, low], 8081));
    let class = json!({"name": "segment", "effect": "idempotency_key", "group": "all", "window": 10_000_000_000_u64,
                       "onTime": 600_000_000, "deadline": 6_000_000_000_u64, "worth": 1.0});
    let config = json!({
        "name": format!("n{number}"), "listen": listen.to_string(), "seed": format!("{number:x}"),
        "limits": {"sockets": 64}, "settings": {"discovery": "push", "classes": [class]},
    });
    let files = ["config", "operator"].map(|what| folder.join(format!("{what}-{number}.json")));
    std::fs::write(&files[0], config.to_string())?;
    std::fs::write(&files[1], json!({"fleet": {"keepers": replicas}}).to_string())?;
    let [config, operator] = &files;
    let mut command = Command::new(program);
    command.env("PROXY_CONFIG", config).env("PEBBLEPOST_OPERATOR", operator);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    Ok(ManagedProcess::new(command))
}

/// Members that are present in an incarnation, and the revision.
async fn present_members(client: &mut StoreClient, incarnation: u64) -> Result<(usize, u64)> {
    let reply = client.request(&json!({"get": []}), Duration::from_secs(5)).await?;
    let found = reply.get("found").with_context(|| reply.to_string())?;
    let members = found["entries"].as_object().into_iter().flatten().filter(|(_, entry)| {
        let member = &entry["value"]["member"];
        member["presence"] == "here" && member["incarnation"] == incarnation
    });
    Ok((members.count(), found["revision"].as_u64().unwrap_or(0)))
}

async fn term(client: &mut StoreClient) -> Result<u64> {
    let reply = client.request(&json!("status"), Duration::from_secs(5)).await?;
    reply.pointer("/status/term").and_then(Value::as_u64).with_context(|| reply.to_string())
}

/// Starts so many dispatchers, and starts them again after all were killed at once.
///
/// # Errors
///
/// If a process does not start, or not all join in time.
pub async fn measure(program: &Path, dispatchers: usize) -> Result<MassRestartReport> {
    let folder = std::env::temp_dir().join(format!("pebblepost-harness-herd-{}", std::process::id()));
    let cluster = Cluster::start(program, 3, folder).await?;
    let replicas = Value::Object(cluster.named_addresses());
    let mut client = StoreClient::new(cluster.client_addresses(), Leader::default());
    present_members(&mut client, 1).await?;
    let first_term = term(&mut client).await?;
    let mut processes = Vec::new();
    for number in 0..dispatchers {
        processes.push(start(program, cluster.folder(), number, &replicas)?);
    }
    let mut joined_after_s = Vec::new();
    let (mut slowest, mut revisions) = (Duration::ZERO, 0);
    for incarnation in 1..=2 {
        processes.iter_mut().for_each(ManagedProcess::kill);
        let began = Instant::now();
        for process in &mut processes {
            process.start()?;
        }
        let mut number = 0;
        retry_until(Duration::from_secs(120), async || {
            number += 1;
            let (asked, change) =
                (Instant::now(), StoreClient::command((incarnation, number), "none", number % 2 == 0, ""));
            client.request(&change, Duration::from_secs(10)).await?;
            slowest = slowest.max(asked.elapsed());
            let (count, revision) = present_members(&mut client, incarnation).await?;
            revisions = revision;
            if count < dispatchers { bail!("{count} of {dispatchers} have joined") } else { Ok(()) }
        })
        .await?;
        joined_after_s.push(began.elapsed().as_secs_f64());
    }
    let elections = term(&mut client).await?.saturating_sub(first_term);
    let slowest_change_ms = slowest.as_secs_f64() * 1e3;
    Ok(MassRestartReport {
        dispatchers,
        joined_s: joined_after_s[0],
        joined_again_s: joined_after_s[1],
        revisions,
        elections,
        slowest_change_ms,
    })
}
