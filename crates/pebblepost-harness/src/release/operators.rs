//! What operators ask of the agreed store: by the operator's program, which is killed on the way, or by a client.

use crate::store::client::{Leader, StoreClient};
use crate::sync::lock;
use anyhow::{Result, bail};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// What is under way must be completed within this once all faults are over.
pub const COMPLETION_TIMEOUT: Duration = Duration::from_secs(90);
/// A request must be answered within this.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// The operators of a trial.
#[derive(Debug)]
pub struct Operators {
    /// The operator's program.
    pub program: PathBuf,
    /// Addresses of the replicas, by place.
    pub replicas: Vec<SocketAddr>,
    /// Runs of the program that were killed.
    pub killed: Mutex<usize>,
}

impl Operators {
    /// A client of its own.
    pub fn client(&self) -> StoreClient {
        StoreClient::new(self.replicas.clone(), Leader::default())
    }

    /// Starts the program with these arguments.
    ///
    /// # Errors
    ///
    /// If it does not start.
    pub fn spawn(&self, arguments: &[&str]) -> Result<tokio::process::Child> {
        let named =
            self.replicas.iter().enumerate().map(|(place, address)| format!("{}={address}", place + 1));
        let replicas = named.collect::<Vec<_>>().join(",");
        let mut program = tokio::process::Command::new(&self.program);
        program.args(["fleet", "--keepers", &replicas, "--by", "driver", "--within", "4"]).args(arguments);
        program.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).kill_on_drop(true);
        Ok(program.spawn()?)
    }

    /// Runs the program until it succeeds; it is killed the first few times, wherever it is by then.
    ///
    /// # Errors
    ///
    /// If it has not succeeded within [`COMPLETION_TIMEOUT`].
    pub async fn run(&self, arguments: &[&str], seed: u64) -> Result<()> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut kills = rng.random_range(0..3);
        let end = Instant::now() + COMPLETION_TIMEOUT;
        loop {
            let mut program = self.spawn(arguments)?;
            if kills > 0 {
                kills -= 1;
                let _ = timeout(Duration::from_millis(rng.random_range(1..60)), program.wait()).await;
                program.kill().await?;
                *lock(&self.killed) += 1;
                sleep(Duration::from_millis(rng.random_range(0..300))).await;
            } else if program.wait().await?.success() {
                return Ok(());
            } else if Instant::now() >= end {
                bail!("{arguments:?} is not taken");
            }
        }
    }
}

/// Applies an operation to the agreed state, retried under faults. `id`: the same for each retry, so that it is applied once.
///
/// # Errors
///
/// If the store refuses it, or no replica has answered within [`COMPLETION_TIMEOUT`].
pub async fn apply(client: &mut StoreClient, id: (u64, u64), operation: &Value) -> Result<()> {
    let act = json!({"change": {"ops": [operation], "expect": [], "why": "rig"}});
    let command = json!({"command": {"id": [id.0, id.1], "by": "rig", "at_ms": 0, "act": act}});
    let end = Instant::now() + COMPLETION_TIMEOUT;
    loop {
        match client.request(&command, REQUEST_TIMEOUT).await {
            Ok(reply) if reply.pointer("/answer/Ok").is_some() => return Ok(()),
            Ok(reply) => bail!("{operation}: {reply}"),
            Err(error) if Instant::now() >= end => return Err(error.into()),
            Err(_) => {}
        }
    }
}
