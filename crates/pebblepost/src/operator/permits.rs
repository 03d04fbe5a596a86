//! Budgets, permits, and when a drained worker may be switched off.

use super::arguments::{PermitCommand, Reason};
use super::client::OperatorClient;
use super::error::{FleetError, Result};
use super::text::budget_text;
use pebblepost_fleet::availability::Availability;
use pebblepost_fleet::leader::DrainStatus;
use pebblepost_fleet::value::Value;
use pebblepost_fleet::{Key, Name, Operation, Snapshot, Subject, SubjectKind, Text};
use pebblepost_fleet_store::protocol::{Request, Response};
use serde_json::{Value as Json, json};
use std::fmt::Write;
use std::time::{Duration, Instant};

/// Interval at which a worker's drain status is requested.
const DRAIN_STATUS_INTERVAL: Duration = Duration::from_millis(100);

impl OperatorClient {
    /// Prints what is unavailable and what waits for a permit, and why.
    pub(super) async fn budgets(&mut self, only: Option<SubjectKind>) -> Result<()> {
        let snapshot = self.snapshot().await?;
        let kinds = [SubjectKind::Dispatcher, SubjectKind::Worker];
        for kind in kinds.into_iter().filter(|kind| only.is_none_or(|only| only == *kind)) {
            self.print_availability(&snapshot.availability(kind), kind);
        }
        Ok(())
    }

    fn print_availability(&self, availability: &Availability, kind: SubjectKind) {
        let waits_for = |name: &Name| {
            availability.check_grant(name).err().map_or_else(String::new, |reason| reason.to_string())
        };
        let queue = availability.queue().into_iter();
        let queue: Vec<Json> = queue.map(|name| json!({"name": name, "waits": waits_for(name)})).collect();
        let unavailable = availability.subjects.iter().filter(|(_, subject)| subject.unavailable);
        let unavailable = unavailable.map(|(name, subject)| {
            let revision = subject.permit.and_then(|permit| permit.granted_at_revision);
            json!({"name": name, "permit": revision})
        });
        let unavailable: Vec<Json> = unavailable.collect();
        let json = json!({
            "kind": kind, "all": availability.subjects.len(), "out": unavailable, "queue": queue,
            "budget": availability.budget, "halted": availability.halted,
        });
        self.print(json, &|| {
            let budget = availability.budget.map_or("no budget".to_owned(), |budget| budget_text(&budget));
            let halted = if availability.halted { ", halted" } else { "" };
            let (unavailable, all) = (availability.unavailable_count(), availability.subjects.len());
            let mut text = format!("{kind}: {unavailable} of {all} out; {budget}{halted}");
            for (name, subject) in availability.subjects.iter().filter(|(_, subject)| subject.unavailable) {
                let reason = match subject.permit.and_then(|permit| permit.granted_at_revision) {
                    Some(revision) => format!("by a permit of revision {revision}"),
                    None => "without a permit".to_owned(),
                };
                let _ = write!(text, "\n  out    {name}\t{reason}");
            }
            for (index, name) in availability.queue().into_iter().enumerate() {
                let (position, reason) = (index + 1, waits_for(name));
                let _ = write!(text, "\n  waits  {name}\t{position} in the queue: {reason}");
            }
            text
        });
    }

    /// Requests, withdraws or ends permits.
    pub(super) async fn permits(
        &mut self, command: PermitCommand, subjects: Vec<Subject>, urgent: bool, version: &Text, why: Text,
    ) -> Result<()> {
        // A permit that has been replaced must not be ended: the one that is seen now is named.
        let snapshot =
            if command == PermitCommand::Back { self.snapshot().await? } else { Snapshot::default() };
        let operation = |subject: Subject| match command {
            PermitCommand::Ask => Ok(Operation::RequestPermit { subject, urgent, version: version.clone() }),
            PermitCommand::Withdraw => Ok(Operation::WithdrawPermit(subject)),
            PermitCommand::Force => Ok(Operation::ForceCompletePermit(subject)),
            PermitCommand::Back => complete_permit(&snapshot, subject),
        };
        let operations: Vec<Operation> = subjects.into_iter().map(operation).collect::<Result<_>>()?;
        self.change(operations, Reason { why, expect: None }).await
    }

    /// Prints a worker's drain status whenever it changes, until the worker may be switched off.
    pub(super) async fn wait_until_drained(&mut self, worker: &Name) -> Result<()> {
        let (end, mut shown) = (Instant::now() + self.timeout, None);
        loop {
            let status = match self.request(&Request::DrainStatus(worker.clone())).await? {
                Response::DrainStatus(status) => status,
                other => return Err(FleetError::unexpected(other)),
            };
            let complete = status.is_complete();
            if shown.as_ref() != Some(&status) {
                let json = json!({"worker": worker, "may_be_switched_off": complete, "off": status});
                self.print(json, &|| drain_text(worker, &status));
            }
            if complete {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(FleetError::NotDrained(worker.clone()));
            }
            shown = Some(status);
            tokio::time::sleep(DRAIN_STATUS_INTERVAL).await;
        }
    }
}

/// Ends the permit that the subject has now.
fn complete_permit(snapshot: &Snapshot, subject: Subject) -> Result<Operation> {
    match snapshot.entries.get(&Key::Permit(subject.clone())).map(|entry| &entry.value) {
        Some(Value::Permit(permit)) => {
            Ok(Operation::CompletePermit(subject, permit.granted_at_revision.unwrap_or(0)))
        }
        _ => Err(FleetError::NoPermit(subject)),
    }
}

fn drain_text(worker: &Name, status: &DrainStatus) -> String {
    let Some(revision) = status.granted_at_revision else {
        return format!("{worker}: no permit is granted");
    };
    let confirmed = status.confirmed.len();
    let verdict = if status.is_complete() { "may be switched off" } else { "may not be switched off yet" };
    let unconfirmed = status.unconfirmed.iter().map(|(name, reason)| format!("\n  {name}\t{reason}"));
    let unconfirmed: String = unconfirmed.collect();
    format!(
        "{worker}: permit of revision {revision}, {confirmed} dispatchers confirmed: {verdict}{unconfirmed}"
    )
}
