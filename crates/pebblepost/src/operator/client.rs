//! Requests of an operator to the fleet store, and printing what comes of them.

use super::arguments::Reason;
use super::error::{FleetError, Result};
use pebblepost_fleet::{Action, Name, Operation, Precondition, Snapshot};
use pebblepost_fleet_store::client::{Client, new_command};
use pebblepost_fleet_store::protocol::{Request, Response};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::time::Duration;

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Format {
    Text,
    Json,
}

/// An operator's connection to the fleet store.
pub(super) struct OperatorClient {
    pub(super) client: Client,
    /// Addresses of the replicas, by number.
    pub(super) replicas: BTreeMap<u64, String>,
    pub(super) timeout: Duration,
    /// Who is named in the history.
    pub(super) issuer: Name,
    pub(super) format: Format,
}

impl OperatorClient {
    /// Prints a result in one line.
    pub(super) fn print(&self, json: Json, text: &dyn Fn() -> String) {
        let line = match self.format {
            Format::Json => json.to_string(),
            Format::Text => text(),
        };
        if writeln!(std::io::stdout(), "{line}").is_err() {
            std::process::exit(0); // The reader has gone.
        }
    }

    pub(super) async fn request(&mut self, request: &Request) -> Result<Response> {
        Ok(self.client.request(request, self.timeout).await?)
    }

    /// Sends a request whose only response is that it was done.
    pub(super) async fn request_done(&mut self, request: &Request) -> Result<()> {
        match self.request(request).await? {
            Response::Done => {
                self.print(json!({"done": true}), &|| "done".to_owned());
                Ok(())
            }
            other => Err(FleetError::unexpected(other)),
        }
    }

    /// The complete agreed state.
    pub(super) async fn snapshot(&mut self) -> Result<Snapshot> {
        match self.request(&Request::Get(Vec::new())).await? {
            Response::Entries { revision, entries } => Ok(Snapshot { revision, entries }),
            other => Err(FleetError::unexpected(other)),
        }
    }

    /// Has the group apply operations, each only if its key is at the revision that the reason expects, if any.
    pub(super) async fn change(
        &mut self, operations: impl IntoIterator<Item = Operation>, reason: Reason,
    ) -> Result<()> {
        let operations: Vec<Operation> = operations.into_iter().collect();
        let keys = operations.iter().map(Operation::key);
        let preconditions = match reason.expect {
            Some(revision) => keys.map(|key| Precondition { key, revision }).collect(),
            None => Vec::new(),
        };
        self.submit(Action::Change { operations, preconditions, reason: reason.why }).await
    }

    /// Has the group apply an action and prints the revision.
    pub(super) async fn submit(&mut self, action: Action) -> Result<()> {
        let command = new_command(self.issuer.clone(), action);
        let applied = self.client.submit(&command, self.timeout).await??;
        let revision = applied.revision;
        self.print(json!({"revision": revision}), &|| format!("agreed at revision {revision}"));
        Ok(())
    }
}
