//! How far a release is, as the agreed state shows it.

use super::operators::REQUEST_TIMEOUT;
use crate::store::client::StoreClient;
use anyhow::{Context, Result};
use serde_json::{Value, json};

/// Keys of dispatchers' permits begin with this.
pub(super) const DISPATCHER_PERMITS: &str = "permit/dispatcher/";

/// How far a release is.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Members that are present, ready and of the version.
    pub(super) ready_members: usize,
    /// Permits that are left.
    pub(super) permits: usize,
    /// Dispatchers are halted.
    pub(super) halted: bool,
    /// The release goes on.
    pub(super) in_progress: bool,
}

impl Progress {
    /// Reads it. An empty `version` stands for any. Permits count whose keys begin with `permit_prefix`.
    pub(super) async fn read(client: &mut StoreClient, version: &str, permit_prefix: &str) -> Result<Self> {
        let reply = client.request(&json!({"get": []}), REQUEST_TIMEOUT).await?;
        let entries = reply.pointer("/found/entries").and_then(Value::as_object);
        let entries = entries.with_context(|| format!("no entries: {reply}"))?;
        let is_ready = |entry: &&Value| {
            let member = &entry["value"]["member"];
            let status = &member["card"];
            member["presence"] == "here"
                && status["ready"] == true
                && (version.is_empty() || status["version"] == version)
        };
        Ok(Self {
            ready_members: entries.values().filter(is_ready).count(),
            permits: entries.keys().filter(|key| key.starts_with(permit_prefix)).count(),
            halted: entries.contains_key("halt/dispatcher"),
            in_progress: entries.contains_key("release/dispatcher"),
        })
    }
}
