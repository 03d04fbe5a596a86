//! Many dispatchers that come back at once: each joins, and no election is lost through it.

use super::client::{Leader, StoreClient};
use super::cluster::{Cluster, retry_until};
use crate::fault::managed_process::ManagedProcess;
use anyhow::{Context, Result, bail};
use serde::Serialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct MassRestartReport {
    /// Dispatchers.
    pub dispatchers: usize,
    /// From their first start until the group had all of them as members, in seconds.
    pub joined_s: f64,
    /// The same after all were killed and started again at once.
    pub joined_again_s: f64,
    /// Revisions that it took: two for each is one join and one more.
    pub revisions: u64,
    /// Elections while they came.
    pub elections: u64,
    /// Slowest change of a desk while they came back, in milliseconds.
    pub slowest_change_ms: f64,
}

fn start(program: &Path, folder: &Path, number: usize, replicas: &Value) -> Result<ManagedProcess> {
    // An address of its own: among hundreds of processes a port that was free a moment ago is none any more.
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

/// Members that are there in that life, and the revision.
async fn here(client: &mut StoreClient, life: u64) -> Result<(usize, u64)> {
    let reply = client.request(&json!({"get": []}), Duration::from_secs(5)).await?;
    let found = reply.get("found").with_context(|| reply.to_string())?;
    let members = found["entries"].as_object().into_iter().flatten().filter(|(_, entry)| {
        let member = &entry["value"]["member"];
        member["presence"] == "here" && member["incarnation"] == life
    });
    Ok((members.count(), found["revision"].as_u64().unwrap_or(0)))
}

async fn term(client: &mut StoreClient) -> Result<u64> {
    let reply = client.request(&json!("status"), Duration::from_secs(5)).await?;
    reply.pointer("/status/term").and_then(Value::as_u64).with_context(|| reply.to_string())
}

/// Plays it.
pub async fn measure(program: &Path, dispatchers: usize) -> Result<MassRestartReport> {
    let folder = std::env::temp_dir().join(format!("pebblepost-harness-herd-{}", std::process::id()));
    let cluster = Cluster::start(program, 3, folder).await?;
    let replicas = Value::Object(cluster.named_addresses());
    let mut client = StoreClient::new(cluster.client_addresses(), Leader::default());
    here(&mut client, 1).await?;
    let first_term = term(&mut client).await?;
    let mut processes = Vec::new();
    for number in 0..dispatchers {
        processes.push(start(program, cluster.folder(), number, &replicas)?);
    }
    let mut took = Vec::new();
    let (mut slowest, mut revisions) = (Duration::ZERO, 0);
    for life in 1..=2 {
        processes.iter_mut().for_each(ManagedProcess::kill);
        let began = Instant::now();
        for one in &mut processes {
            one.start()?;
        }
        let mut number = 0;
        retry_until(Duration::from_secs(120), async || {
            number += 1;
            let (asked, change) =
                (Instant::now(), StoreClient::command((life, number), "none", number % 2 == 0, ""));
            client.request(&change, Duration::from_secs(10)).await?;
            slowest = slowest.max(asked.elapsed());
            let (count, revision) = here(&mut client, life).await?;
            revisions = revision;
            if count < dispatchers { bail!("{count} of {dispatchers} have joined") } else { Ok(()) }
        })
        .await?;
        took.push(began.elapsed().as_secs_f64());
    }
    let elections = term(&mut client).await?.saturating_sub(first_term);
    let slowest_change_ms = slowest.as_secs_f64() * 1e3;
    Ok(MassRestartReport {
        dispatchers,
        joined_s: took[0],
        joined_again_s: took[1],
        revisions,
        elections,
        slowest_change_ms,
    })
}
