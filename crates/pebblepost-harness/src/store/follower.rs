//! A follower of all changes: its copy of the drains, and gaps in what it was sent.

use super::client::tag;
use super::connection::Connection;
use crate::sync::lock;
use anyhow::Result;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A connection must open within this.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A watch says something every half second; silent for so long, the next replica is asked.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before the next replica is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The follower's copy.
#[derive(Default)]
pub(super) struct FollowerState {
    /// Revision of the last change.
    pub(super) revision: u64,
    /// Tag of each worker's drain.
    pub(super) drains: BTreeMap<String, String>,
    /// Gaps, in words.
    pub(super) gaps: Vec<String>,
}

impl FollowerState {
    /// Takes in a message of a watch.
    fn apply(&mut self, message: &Value) {
        if let Some(snapshot) = message.get("snapshot") {
            let revision = snapshot["revision"].as_u64().unwrap_or(0);
            if revision >= self.revision {
                self.revision = revision;
                self.drains = drains(&snapshot["entries"]);
            }
        }
        for change in message.get("changes").and_then(Value::as_array).into_iter().flatten() {
            self.apply_change(change);
        }
    }

    fn apply_change(&mut self, change: &Value) {
        let revision = change["revision"].as_u64().unwrap_or(0);
        if revision <= self.revision {
            return; // From a replica that lags.
        }
        if revision != self.revision + 1 {
            self.gaps.push(format!("change {revision} came after {}", self.revision));
        }
        self.revision = revision;
        for item in change["items"].as_array().into_iter().flatten() {
            let Some(worker) = item[0].as_str().and_then(|key| key.strip_prefix("drain/")) else { continue };
            match tag(Some(&json!({"value": item[1]}))) {
                Some(tag) => drop(self.drains.insert(worker.to_owned(), tag)),
                None => drop(self.drains.remove(worker)),
            }
        }
    }
}

/// The tag of each drained worker among the entries of the state.
pub(super) fn drains(entries: &Value) -> BTreeMap<String, String> {
    let entries = entries.as_object().into_iter().flatten();
    let drain = |(key, entry): (&String, &Value)| {
        Some((key.strip_prefix("drain/")?.to_owned(), tag(Some(entry)).unwrap_or_default()))
    };
    entries.filter_map(drain).collect()
}

/// Follows all changes at one replica after another, each from its own revision on, for as long as it is polled.
pub(super) async fn follow(addresses: Vec<SocketAddr>, state: Arc<Mutex<FollowerState>>) {
    for address in addresses.iter().cycle() {
        let from = lock(&state).revision;
        let session = async {
            let mut connection = timeout(CONNECT_TIMEOUT, Connection::open(*address)).await??;
            connection.send(&json!({"watch": from})).await?;
            loop {
                let message = timeout(WATCH_TIMEOUT, connection.receive()).await??;
                lock(&state).apply(&message);
            }
        };
        let _: Result<()> = session.await;
        sleep(RETRY_PAUSE).await;
    }
}
