//! Damage to a replica's disk, and the replacement of a replica that has lost its disk.

use super::client::{LeaderHint, StoreClient};
use super::retry::query;
use crate::fault::schedule::DiskDamage;
use anyhow::{Context, Result, bail};
use serde_json::json;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time limit for a replacement to become a voter, including the time under faults.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(120);

/// Damages the file of a replica that is not running.
pub(super) fn damage_file(file: &Path, damage: DiskDamage) -> Result<()> {
    match damage {
        DiskDamage::Deleted => std::fs::remove_file(file)?,
        DiskDamage::Truncated => {
            let half = std::fs::metadata(file)?.len() / 2;
            File::options().write(true).open(file)?.set_len(half)?;
        }
        DiskDamage::BitFlipped(bit) => {
            let mut bytes = std::fs::read(file)?;
            let at = usize::try_from(bit)? % (bytes.len() * 8);
            bytes[at / 8] ^= 1 << (at % 8);
            std::fs::write(file, bytes)?;
        }
    }
    Ok(())
}

/// Replaces a replica whose disk is lost by one with a new disk: the new replica joins as a learner, the old one is
/// removed, and the new one is promoted to a voter.
///
/// In this order the quorum is never larger than the quorum of the remaining replicas.
pub(super) async fn join_replacement(
    old_id: usize, new_id: usize, address: SocketAddr, addresses: Vec<SocketAddr>,
) -> Result<()> {
    let (mut client, deadline) =
        (StoreClient::new(addresses, LeaderHint::default()), Instant::now() + REPLACEMENT_TIMEOUT);
    let disk = loop {
        match query(address, &json!("status")).await {
            Ok(status) => {
                break status
                    .pointer("/status/disk")
                    .cloned()
                    .with_context(|| format!("status without disk: {status}"))?;
            }
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    };
    let learn = json!({"learn": [new_id, {"address": address.to_string(), "disk": disk}]});
    for step in [learn, json!({"remove": old_id}), json!({"promote": new_id})] {
        loop {
            match client.request(&step, Duration::from_secs(8)).await {
                Ok(reply) if reply == json!("done") => break,
                Ok(reply) => bail!("replacement step {step} failed: expected \"done\", got {reply}"),
                Err(error) if Instant::now() >= deadline => return Err(error.into()),
                Err(_) => {}
            }
        }
    }
    Ok(())
}
