//! Commands that show entries and changes of the replicated state, and follow changes.

use super::client::OperatorClient;
use super::error::{FleetError, Result};
use super::text::format_value;
use pebblepost_fleet::value::Entry;
use pebblepost_fleet::{Change, Key, Snapshot};
use pebblepost_fleet_store::protocol::{Request, Response};
use serde_json::json;
use std::time::Duration;

/// Delay before a watch that could not be opened is retried at another replica.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(200);

impl OperatorClient {
    fn print_entry(&self, key: &Key, entry: &Entry) {
        self.print(json!({"key": key, "revision": entry.revision, "value": entry.value}), &|| {
            format!("{key}\t{}\t(revision {})", format_value(&entry.value), entry.revision)
        });
    }

    fn print_change(&self, change: &Change) {
        self.print(json!(change), &|| {
            let items = change.items.iter().map(|(key, value)| match value {
                Some(value) => format!("{key} = {}", format_value(value)),
                None => format!("{key} is gone"),
            });
            let items: Vec<String> = items.collect();
            let (revision, issued_at_ms, issuer) = (change.revision, change.issued_at_ms, &change.issued_by);
            format!("{revision}\t{issued_at_ms} by {issuer}: {}", items.join(", "))
        });
    }

    /// Prints the entries at `keys`, or all entries if it is empty, whose key satisfies `is_shown`.
    pub(super) async fn show(&mut self, keys: Vec<Key>, is_shown: fn(&Key) -> bool) -> Result<()> {
        match self.request(&Request::Get(keys)).await? {
            Response::Entries { revision, entries } => {
                let shown = entries.iter().filter(|(key, _)| is_shown(key));
                shown.for_each(|(key, entry)| self.print_entry(key, entry));
                self.print(json!({"revision": revision}), &|| format!("revision {revision}"));
                Ok(())
            }
            other => Err(FleetError::unexpected(other)),
        }
    }

    /// Prints the `last` most recent changes, newest last.
    pub(super) async fn history(&mut self, last: usize) -> Result<()> {
        match self.request(&Request::History(last)).await? {
            Response::History(changes) => {
                changes.iter().for_each(|change| self.print_change(change));
                Ok(())
            }
            other => Err(FleetError::unexpected(other)),
        }
    }

    /// Prints all changes after the revision `from`, until the program is interrupted.
    ///
    /// When the stream ends or is silent for longer than the time-out, a new watch starts after the last printed revision.
    pub(super) async fn watch(&mut self, from: u64) -> Result<()> {
        let mut shown_revision = from;
        loop {
            let Ok(mut stream) = self.client.open_watch(shown_revision, true).await else {
                tokio::time::sleep(WATCH_RETRY_DELAY).await;
                continue;
            };
            while let Ok(Ok(Some(response))) =
                tokio::time::timeout(self.timeout, stream.receive::<Response>()).await
            {
                shown_revision = self.print_update(response, shown_revision);
            }
        }
    }

    /// Prints updates newer than `shown_revision`, and returns the last revision printed so far.
    fn print_update(&self, response: Response, shown_revision: u64) -> u64 {
        match response {
            // After a reconnect, another replica may be behind what was already printed.
            Response::Snapshot(Snapshot { revision, entries }) if revision > shown_revision => {
                entries.iter().for_each(|(key, entry)| self.print_entry(key, entry));
                revision
            }
            Response::Changes(changes) => {
                let new = changes.iter().filter(|change| change.revision > shown_revision);
                new.for_each(|change| self.print_change(change));
                changes.last().map_or(shown_revision, |change| change.revision.max(shown_revision))
            }
            _ => shown_revision,
        }
    }
}
