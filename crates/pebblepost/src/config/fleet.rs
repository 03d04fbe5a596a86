//! Section `fleet` of the operator file.

use super::error::{ConfigProblem, Result, fail};
use super::json::read_address;
use pebblepost_fleet::Text;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Configuration of this dispatcher's membership in the fleet.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Fleet")]
pub struct FleetConfig {
    /// Addresses of the fleet store's replicas, by number. Without replicas, only drains requested at this dispatcher apply.
    #[serde(default, rename = "keepers")]
    pub replicas: BTreeMap<u64, String>,
    /// Loopback address on which operators request drains at this dispatcher.
    pub control: Option<SocketAddr>,
    /// File that keeps a snapshot of the replicated state across restarts; `None` to keep none.
    pub copy: Option<PathBuf>,
    /// Zone of this dispatcher, for the member list and the disruption budgets.
    #[serde(default)]
    pub zone: String,
    /// Version that this installation reports; the program's own version by default.
    #[serde(default = "program_version")]
    pub version: String,
}

impl FleetConfig {
    /// Reads and validates the section.
    pub(super) fn read(file: &str, json: &Value) -> Result<Self> {
        let fleet: Self = serde_json::from_value(json.clone()).or_else(|error| fail(file, "fleet", error))?;
        let mut addresses: Vec<SocketAddr> = fleet.control.into_iter().collect();
        for (id, text) in &fleet.replicas {
            addresses.extend(read_address(file, &format!("fleet.keepers.{id}"), Some(&json!(text)))?);
        }
        // Any process that can reach these addresses may change the replicated state, so only loopback addresses are
        // permitted.
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
