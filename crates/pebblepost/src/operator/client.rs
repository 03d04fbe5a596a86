//! Client that sends an operator's requests to the fleet store and prints the results.

use super::arguments::ChangeOptions;
use super::error::{FleetError, Result};
use pebblepost_fleet::{Action, Name, Operation, Precondition, Snapshot};
use pebblepost_fleet_store::client::{Client, new_command};
use pebblepost_fleet_store::protocol::{Request, Response};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::time::Duration;

/// Output format of results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Format {
    Text,
    Json,
}

/// An operator's connection to the fleet store.
pub(super) struct OperatorClient {
    pub(super) client: Client,
    /// Replica addresses by number.
    pub(super) replicas: BTreeMap<u64, String>,
    pub(super) timeout: Duration,
    /// Name recorded in the history as the author of a change.
    pub(super) issuer: Name,
    pub(super) format: Format,
}

impl OperatorClient {
    /// Prints a result as JSON on one line, or as text, depending on the format.
    ///
    /// Exits the process with code 0 if standard output is closed.
    pub(super) fn print(&self, json: Json, text: &dyn Fn() -> String) {
        let line = match self.format {
            Format::Json => json.to_string(),
            Format::Text => text(),
        };
        if writeln!(std::io::stdout(), "{line}").is_err() {
            std::process::exit(0); // The reader closed the pipe.
        }
    }

    pub(super) async fn request(&mut self, request: &Request) -> Result<Response> {
        Ok(self.client.request(request, self.timeout).await?)
    }

    /// Sends a request that is confirmed with [`Response::Done`], and prints the confirmation.
    pub(super) async fn request_done(&mut self, request: &Request) -> Result<()> {
        match self.request(request).await? {
            Response::Done => {
                self.print(json!({"done": true}), &|| "done".to_owned());
                Ok(())
            }
            other => Err(FleetError::unexpected(other)),
        }
    }

    /// Requests a snapshot of the complete replicated state.
    pub(super) async fn snapshot(&mut self) -> Result<Snapshot> {
        match self.request(&Request::Get(Vec::new())).await? {
            Response::Entries { revision, entries } => Ok(Snapshot { revision, entries }),
            other => Err(FleetError::unexpected(other)),
        }
    }

    /// Submits operations to the store group.
    ///
    /// With an expected revision, the change is applied only if every key was last changed at that revision.
    pub(super) async fn change(
        &mut self, operations: impl IntoIterator<Item = Operation>, options: ChangeOptions,
    ) -> Result<()> {
        let operations: Vec<Operation> = operations.into_iter().collect();
        let keys = operations.iter().map(Operation::key);
        let preconditions = match options.expected_revision {
            Some(revision) => keys.map(|key| Precondition { key, revision }).collect(),
            None => Vec::new(),
        };
        self.submit(Action::Change { operations, preconditions, reason: options.reason }).await
    }

    /// Submits an action to the store group and prints the revision at which it was applied.
    pub(super) async fn submit(&mut self, action: Action) -> Result<()> {
        let command = new_command(self.issuer.clone(), action);
        let applied = self.client.submit(&command, self.timeout).await??;
        let revision = applied.revision;
        self.print(json!({"revision": revision}), &|| format!("agreed at revision {revision}"));
        Ok(())
    }
}
