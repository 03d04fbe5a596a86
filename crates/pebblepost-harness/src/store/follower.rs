//! A follower of all changes of the store. It keeps a copy of the drains and records gaps between the revisions it
//! receives.

use super::client::drain_tag;
use super::connection::Connection;
use crate::sync::lock;
use anyhow::Result;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time limit for connecting to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Silence after which the next replica is followed; a watch sends a message every half second.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before the next replica is followed.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// The follower's copy of the state.
#[derive(Default)]
pub(super) struct FollowerState {
    /// Revision of the last applied change.
    pub(super) revision: u64,
    /// Tag of each drained worker.
    pub(super) drains: BTreeMap<String, String>,
    /// Descriptions of missing changes.
    pub(super) gaps: Vec<String>,
}

impl FollowerState {
    /// Applies a message of a watch: a snapshot, changes or both.
    fn apply_message(&mut self, message: &Value) {
        if let Some(snapshot) = message.get("snapshot") {
            let revision = snapshot["revision"].as_u64().unwrap_or(0);
            if revision >= self.revision {
                self.revision = revision;
                self.drains = drain_tags(&snapshot["entries"]);
            }
        }
        for change in message.get("changes").and_then(Value::as_array).into_iter().flatten() {
            self.apply_change(change);
        }
    }

    fn apply_change(&mut self, change: &Value) {
        let revision = change["revision"].as_u64().unwrap_or(0);
        if revision <= self.revision {
            return; // Sent by a replica that lags behind.
        }
        if revision != self.revision + 1 {
            self.gaps.push(format!(
                "follower received revision {revision} directly after revision {}",
                self.revision
            ));
        }
        self.revision = revision;
        for item in change["items"].as_array().into_iter().flatten() {
            let Some(worker) = item[0].as_str().and_then(|key| key.strip_prefix("drain/")) else { continue };
            match drain_tag(Some(&json!({"value": item[1]}))) {
                Some(tag) => drop(self.drains.insert(worker.to_owned(), tag)),
                None => drop(self.drains.remove(worker)),
            }
        }
    }
}

/// Tag of each drained worker among the entries of the state.
pub(super) fn drain_tags(entries: &Value) -> BTreeMap<String, String> {
    let entries = entries.as_object().into_iter().flatten();
    let drain = |(key, entry): (&String, &Value)| {
        Some((key.strip_prefix("drain/")?.to_owned(), drain_tag(Some(entry)).unwrap_or_default()))
    };
    entries.filter_map(drain).collect()
}

/// Follows all changes at one replica after another, each from the last applied revision on, for as long as the
/// future is polled.
pub(super) async fn follow_changes(addresses: Vec<SocketAddr>, state: Arc<Mutex<FollowerState>>) {
    for address in addresses.iter().cycle() {
        let from = lock(&state).revision;
        let session = async {
            let mut connection = timeout(CONNECT_TIMEOUT, Connection::open(*address)).await??;
            connection.send(&json!({"watch": from})).await?;
            loop {
                let message = timeout(WATCH_IDLE_TIMEOUT, connection.receive()).await??;
                lock(&state).apply_message(&message);
            }
        };
        let _: Result<()> = session.await;
        sleep(RETRY_BACKOFF).await;
    }
}
