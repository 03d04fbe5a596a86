//! Operators: what they ask the keepers for, by the operator's program, which is killed on the way, or by a desk.

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

/// After the faults all that goes on must have ended within this.
pub const COMPLETION_TIMEOUT: Duration = Duration::from_secs(90);
/// One answer is waited for so long.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Where operators work.
#[derive(Debug)]
pub struct Operators {
    /// The operator's program.
    pub program: PathBuf,
    /// Where the keepers are reached.
    pub replicas: Vec<SocketAddr>,
    /// How many runs of the program were killed.
    pub killed: Mutex<usize>,
}

impl Operators {
    /// A desk of its own.
    pub fn client(&self) -> StoreClient {
        StoreClient::new(self.replicas.clone(), Leader::default())
    }

    /// The program, asked for this.
    pub fn operator(&self, words: &[&str]) -> Result<tokio::process::Child> {
        let named = self.replicas.iter().enumerate().map(|(i, at)| format!("{}={at}", i + 1));
        let replicas = named.collect::<Vec<_>>().join(",");
        let mut program = tokio::process::Command::new(&self.program);
        program.args(["fleet", "--keepers", &replicas, "--by", "driver", "--within", "4"]).args(words);
        program.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).kill_on_drop(true);
        Ok(program.spawn()?)
    }

    /// Has the program ask for something; it is killed the first times, wherever it is by then.
    pub async fn start(&self, words: &[&str], seed: u64) -> Result<()> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut kills = rng.random_range(0..3);
        let end = Instant::now() + COMPLETION_TIMEOUT;
        loop {
            let mut program = self.operator(words)?;
            if kills > 0 {
                kills -= 1;
                let _ = timeout(Duration::from_millis(rng.random_range(1..60)), program.wait()).await;
                program.kill().await?;
                *lock(&self.killed) += 1;
                sleep(Duration::from_millis(rng.random_range(0..300))).await;
            } else if program.wait().await?.success() {
                return Ok(());
            } else if Instant::now() >= end {
                bail!("{words:?} is not taken");
            }
        }
    }
}

/// Has an operation done, however long that takes under faults.
pub async fn apply(client: &mut StoreClient, id: (u64, u64), op: &Value) -> Result<()> {
    let act = json!({"change": {"ops": [op], "expect": [], "why": "rig"}});
    let command = json!({"command": {"id": [id.0, id.1], "by": "rig", "at_ms": 0, "act": act}});
    let end = Instant::now() + COMPLETION_TIMEOUT;
    loop {
        match client.request(&command, REQUEST_TIMEOUT).await {
            Ok(reply) if reply.pointer("/answer/Ok").is_some() => return Ok(()),
            Ok(reply) => bail!("{op}: {reply}"),
            Err(error) if Instant::now() >= end => return Err(error.into()),
            Err(_) => {}
        }
    }
}
