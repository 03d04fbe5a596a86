//! Measures how fast many dispatchers that restart at the same time join the store, and how this affects the store.

use super::client::{LeaderHint, StoreClient};
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

/// Figures of a mass restart.
#[derive(Clone, Debug, Serialize)]
pub struct MassRestartReport {
    /// Number of dispatchers.
    pub dispatchers: usize,
    /// Time from the first start of the dispatchers until all are members of the store, in seconds.
    pub joined_s: f64,
    /// The same time after all were killed and restarted at once, in seconds.
    pub joined_again_s: f64,
    /// Revision of the store after the second join. Two revisions per dispatcher are one for each of its joins.
    pub revisions: u64,
    /// Number of elections during the measurement.
    pub elections: u64,
    /// Longest time that a change of a client took during the measurement, in milliseconds.
    pub slowest_change_ms: f64,
}

fn dispatcher_process(
    program: &Path, folder: &Path, number: usize, replicas: &Value,
) -> Result<ManagedProcess> {
    // Each dispatcher has its own address: among hundreds of processes, a port that was free a moment ago may already
    // be in use.
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

/// Returns the number of members that are present with this incarnation, and the current revision.
async fn present_members(client: &mut StoreClient, incarnation: u64) -> Result<(usize, u64)> {
    let reply = client.request(&json!({"get": []}), Duration::from_secs(5)).await?;
    let found = reply.get("found").with_context(|| format!("reply without state: {reply}"))?;
    let members = found["entries"].as_object().into_iter().flatten().filter(|(_, entry)| {
        let member = &entry["value"]["member"];
        member["presence"] == "here" && member["incarnation"] == incarnation
    });
    Ok((members.count(), found["revision"].as_u64().unwrap_or(0)))
}

async fn current_term(client: &mut StoreClient) -> Result<u64> {
    let reply = client.request(&json!("status"), Duration::from_secs(5)).await?;
    reply
        .pointer("/status/term")
        .and_then(Value::as_u64)
        .with_context(|| format!("status without term: {reply}"))
}

/// Starts `dispatchers` dispatchers, then kills all of them at once and restarts them.
///
/// # Errors
///
/// Returns an error if a process does not start, or not all dispatchers join in time.
pub async fn measure(program: &Path, dispatchers: usize) -> Result<MassRestartReport> {
    let folder = std::env::temp_dir().join(format!("pebblepost-harness-herd-{}", std::process::id()));
    let cluster = Cluster::start(program, 3, folder).await?;
    let replicas = Value::Object(cluster.client_addresses_by_id());
    let mut client = StoreClient::new(cluster.client_addresses(), LeaderHint::default());
    present_members(&mut client, 1).await?;
    let first_term = current_term(&mut client).await?;
    let mut processes = Vec::new();
    for number in 0..dispatchers {
        processes.push(dispatcher_process(program, cluster.folder(), number, &replicas)?);
    }
    let mut joined_after_s = Vec::new();
    let (mut slowest_change, mut revisions) = (Duration::ZERO, 0);
    for incarnation in 1..=2 {
        processes.iter_mut().for_each(ManagedProcess::kill);
        let began = Instant::now();
        for process in &mut processes {
            process.start()?;
        }
        let mut number = 0;
        retry_until(Duration::from_secs(120), async || {
            number += 1;
            let (requested_at, change) = (
                Instant::now(),
                StoreClient::drain_command((incarnation, number), "none", number % 2 == 0, ""),
            );
            client.request(&change, Duration::from_secs(10)).await?;
            slowest_change = slowest_change.max(requested_at.elapsed());
            let (count, revision) = present_members(&mut client, incarnation).await?;
            revisions = revision;
            if count < dispatchers {
                bail!("{count} of {dispatchers} dispatchers have joined")
            } else {
                Ok(())
            }
        })
        .await?;
        joined_after_s.push(began.elapsed().as_secs_f64());
    }
    let elections = current_term(&mut client).await?.saturating_sub(first_term);
    let slowest_change_ms = slowest_change.as_secs_f64() * 1e3;
    Ok(MassRestartReport {
        dispatchers,
        joined_s: joined_after_s[0],
        joined_again_s: joined_after_s[1],
        revisions,
        elections,
        slowest_change_ms,
    })
}
