//! Damage to a replica's disk, and the replacement of a replica that has lost its own.

use super::client::{Leader, StoreClient};
use super::retry::query;
use crate::fault::schedule::DiskDamage;
use anyhow::{Context, Result, bail};
use serde_json::json;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// A replacement must be a voter within this, faults or not.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(120);

/// Damages the file of a replica that does not run.
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

/// Has a replica with a new disk replace one whose disk is lost: it joins as a learner, the old one is removed, and it becomes
/// a voter. In this order no quorum is ever larger than that of the replicas that are left.
pub(super) async fn join_replacement(
    old: usize, new: usize, at: SocketAddr, addresses: Vec<SocketAddr>,
) -> Result<()> {
    let (mut client, end) =
        (StoreClient::new(addresses, Leader::default()), Instant::now() + REPLACEMENT_TIMEOUT);
    let disk = loop {
        match query(at, &json!("status")).await {
            Ok(status) => {
                break status.pointer("/status/disk").cloned().with_context(|| status.to_string())?;
            }
            Err(error) if Instant::now() >= end => return Err(error),
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    };
    let learn = json!({"learn": [new, {"address": at.to_string(), "disk": disk}]});
    for step in [learn, json!({"remove": old}), json!({"promote": new})] {
        loop {
            match client.request(&step, Duration::from_secs(8)).await {
                Ok(reply) if reply == json!("done") => break,
                Ok(reply) => bail!("{step}: {reply}"),
                Err(error) if Instant::now() >= end => return Err(error.into()),
                Err(_) => {}
            }
        }
    }
    Ok(())
}
