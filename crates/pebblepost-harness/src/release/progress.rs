//! Progress of a release, as shown by the replicated state.

use super::operators::REQUEST_TIMEOUT;
use crate::store::client::StoreClient;
use anyhow::{Context, Result};
use serde_json::{Value, json};

/// Prefix of the keys of dispatchers' permits.
pub(super) const DISPATCHER_PERMITS: &str = "permit/dispatcher/";

/// Progress of a release.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Members that are present, ready and run the version.
    pub(super) ready_members: usize,
    /// Permits that still exist.
    pub(super) permits: usize,
    /// Whether releases to dispatchers are halted.
    pub(super) halted: bool,
    /// Whether the release is still in progress.
    pub(super) in_progress: bool,
}

impl Progress {
    /// Reads the progress from the store. An empty `version` matches any version. Only permits whose keys begin with
    /// `permit_prefix` are counted.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica responds in time, or the reply has no entries.
    pub(super) async fn read(client: &mut StoreClient, version: &str, permit_prefix: &str) -> Result<Self> {
        let reply = client.request(&json!({"get": []}), REQUEST_TIMEOUT).await?;
        let entries = reply.pointer("/found/entries").and_then(Value::as_object);
        let entries = entries.with_context(|| format!("reply without entries: {reply}"))?;
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
