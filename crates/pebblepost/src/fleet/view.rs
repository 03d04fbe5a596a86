//! Keys and changes, shown and watched.

use super::Desk;
use super::error::{Result, misplaced};
use super::text::told;
use pebblepost_fleet::value::Entry;
use pebblepost_fleet::{Change, Key, Snapshot};
use pebblepost_fleet_store::protocol::{Request, Response};
use serde_json::json;
use std::time::Duration;

impl Desk {
    pub(super) fn entry(&self, key: &Key, entry: &Entry) {
        self.say(json!({"key": key, "revision": entry.revision, "value": entry.value}), &|| {
            format!("{key}\t{}\t(revision {})", told(&entry.value), entry.revision)
        });
    }

    pub(super) fn change(&self, change: &Change) {
        self.say(json!(change), &|| {
            let items = change.items.iter().map(|(key, value)| match value {
                Some(value) => format!("{key} = {}", told(value)),
                None => format!("{key} is gone"),
            });
            let items: Vec<String> = items.collect();
            format!(
                "{}\t{} by {}: {}",
                change.revision,
                change.issued_at_ms,
                change.issued_by,
                items.join(", ")
            )
        });
    }

    pub(super) async fn show(&mut self, keys: Vec<Key>, hit: fn(&Key) -> bool) -> Result<()> {
        match self.ask(&Request::Get(keys)).await? {
            Response::Entries { revision, entries } => {
                entries.iter().filter(|(key, _)| hit(key)).for_each(|(key, entry)| self.entry(key, entry));
                self.say(json!({"revision": revision}), &|| format!("revision {revision}"));
                Ok(())
            }
            other => Err(misplaced(&other)),
        }
    }

    pub(super) async fn watch(&mut self, from: u64) -> Result<()> {
        let mut at = from;
        loop {
            let Ok(mut wire) = self.client.watch(at, true).await else {
                tokio::time::sleep(Duration::from_millis(200)).await;
                continue;
            };
            while let Ok(Ok(Some(say))) = tokio::time::timeout(self.within, wire.next::<Response>()).await {
                match say {
                    // Another keeper may be behind what was shown already.
                    Response::Snapshot(Snapshot { revision, entries }) if revision > at => {
                        entries.iter().for_each(|(key, entry)| self.entry(key, entry));
                        at = revision;
                    }
                    Response::Changes(changes) => {
                        for change in changes.iter().filter(|c| c.revision > at) {
                            self.change(change);
                        }
                        at = changes.last().map_or(at, |c| c.revision.max(at));
                    }
                    _ => {}
                }
            }
        }
    }
}
