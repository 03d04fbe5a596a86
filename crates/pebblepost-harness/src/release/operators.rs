//! Requests of operators to the replicated store, either by the operator's program, which is killed in between, or by
//! a client.

use crate::store::client::{LeaderHint, StoreClient};
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

/// Time limit for work in progress to complete once all faults are over.
pub const COMPLETION_TIMEOUT: Duration = Duration::from_secs(90);
/// Time limit for the response to one request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Operators of a trial.
#[derive(Debug)]
pub struct Operators {
    /// Path of the operator's program.
    pub program: PathBuf,
    /// Addresses of the replicas, by index.
    pub replicas: Vec<SocketAddr>,
    /// Number of runs of the program that were killed.
    pub killed: Mutex<usize>,
}

impl Operators {
    /// Creates a client that shares no state with other clients.
    pub fn client(&self) -> StoreClient {
        StoreClient::new(self.replicas.clone(), LeaderHint::default())
    }

    /// Starts the program with these arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be executed.
    pub fn spawn(&self, arguments: &[&str]) -> Result<tokio::process::Child> {
        let numbered =
            self.replicas.iter().enumerate().map(|(index, address)| format!("{}={address}", index + 1));
        let replicas = numbered.collect::<Vec<_>>().join(",");
        let mut program = tokio::process::Command::new(&self.program);
        program.args(["fleet", "--keepers", &replicas, "--by", "driver", "--within", "4"]).args(arguments);
        program.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).kill_on_drop(true);
        Ok(program.spawn()?)
    }

    /// Runs the program until it succeeds. Up to two runs are killed first, after a random time.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be executed, or a run fails and [`COMPLETION_TIMEOUT`] has passed.
    pub async fn run(&self, arguments: &[&str], seed: u64) -> Result<()> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut kills_left = rng.random_range(0..3);
        let deadline = Instant::now() + COMPLETION_TIMEOUT;
        loop {
            let mut program = self.spawn(arguments)?;
            if kills_left > 0 {
                kills_left -= 1;
                let _ = timeout(Duration::from_millis(rng.random_range(1..60)), program.wait()).await;
                program.kill().await?;
                *lock(&self.killed) += 1;
                sleep(Duration::from_millis(rng.random_range(0..300))).await;
            } else if program.wait().await?.success() {
                return Ok(());
            } else if Instant::now() >= deadline {
                bail!("operator command {arguments:?} did not succeed within {COMPLETION_TIMEOUT:?}");
            }
        }
    }
}

/// Applies an operation to the replicated state and retries it under faults. Each retry uses the same `id`, so that
/// the store applies the operation once.
///
/// # Errors
///
/// Returns an error if the store refuses the operation, or no replica responds within [`COMPLETION_TIMEOUT`].
pub async fn apply(client: &mut StoreClient, id: (u64, u64), operation: &Value) -> Result<()> {
    let act = json!({"change": {"ops": [operation], "expect": [], "why": "rig"}});
    let command = json!({"command": {"id": [id.0, id.1], "by": "rig", "at_ms": 0, "act": act}});
    let deadline = Instant::now() + COMPLETION_TIMEOUT;
    loop {
        match client.request(&command, REQUEST_TIMEOUT).await {
            Ok(reply) if reply.pointer("/answer/Ok").is_some() => return Ok(()),
            Ok(reply) => bail!("store refused operation {operation}: {reply}"),
            Err(error) if Instant::now() >= deadline => return Err(error.into()),
            Err(_) => {}
        }
    }
}
