//! The part `fleet` of the operator's file.

use super::error::{ConfigProblem, Result, fail};
use super::json::address;
use pebblepost_fleet::Text;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// This dispatcher's membership in the fleet.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Fleet")]
pub struct FleetConfig {
    /// Addresses of the fleet store's replicas, by number. Without any, only drains requested here are known.
    #[serde(default, rename = "keepers")]
    pub replicas: BTreeMap<u64, String>,
    /// Where operators of this machine request a drain here.
    pub control: Option<SocketAddr>,
    /// Where a snapshot of the agreed state is saved over a restart, if anywhere.
    pub copy: Option<PathBuf>,
    /// The zone, for the list of members and the budgets.
    #[serde(default)]
    pub zone: String,
    /// What this installation calls its version; the program's own by default.
    #[serde(default = "program_version")]
    pub version: String,
}

impl FleetConfig {
    /// Reads the part.
    pub(super) fn read(file: &str, json: &Value) -> Result<Self> {
        let fleet: Self = serde_json::from_value(json.clone()).or_else(|error| fail(file, "fleet", error))?;
        let mut addresses: Vec<SocketAddr> = fleet.control.into_iter().collect();
        for (id, text) in &fleet.replicas {
            addresses.extend(address(file, &format!("fleet.keepers.{id}"), Some(&json!(text)))?);
        }
        // Whoever reaches these may change the agreed state, so they stay on this machine.
        if let Some(remote) = addresses.iter().find(|address| !address.ip().is_loopback()) {
            return fail(file, "fleet", ConfigProblem::NotLoopback(*remote));
        }
        for (key, text) in [("fleet.zone", &fleet.zone), ("fleet.version", &fleet.version)] {
            if text.parse::<Text>().is_err() {
                return fail(file, key, ConfigProblem::UnusableText);
            }
        }
        Ok(fleet)
    }
}

fn program_version() -> String {
    env!("CARGO_PKG_VERSION").to_owned()
}
