//! Commands for disruption budgets, permits, and waiting until a drained worker may be switched off.

use super::arguments::{ChangeOptions, PermitAction};
use super::client::OperatorClient;
use super::error::{FleetError, Result};
use super::text::format_budget;
use pebblepost_fleet::availability::Availability;
use pebblepost_fleet::leader::DrainStatus;
use pebblepost_fleet::value::Value;
use pebblepost_fleet::{Key, Name, Operation, Snapshot, Subject, SubjectKind, Text};
use pebblepost_fleet_store::protocol::{Request, Response};
use serde_json::{Value as Json, json};
use std::fmt::Write;
use std::time::{Duration, Instant};

/// Interval at which a worker's drain status is polled.
const DRAIN_STATUS_INTERVAL: Duration = Duration::from_millis(100);

impl OperatorClient {
    /// Prints the budget, the unavailable subjects, and those that wait for a permit with the reason.
    pub(super) async fn show_budgets(&mut self, only: Option<SubjectKind>) -> Result<()> {
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
            let budget = availability.budget.map_or("no budget".to_owned(), |budget| format_budget(&budget));
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

    /// Requests, withdraws or completes permits.
    pub(super) async fn change_permits(
        &mut self, action: PermitAction, subjects: Vec<Subject>, urgent: bool, version: &Text, reason: Text,
    ) -> Result<()> {
        // Completing names the revision of the current permit, so that a permit granted later is not completed by mistake.
        let snapshot =
            if action == PermitAction::Complete { self.snapshot().await? } else { Snapshot::default() };
        let operation = |subject: Subject| match action {
            PermitAction::Request => {
                Ok(Operation::RequestPermit { subject, urgent, version: version.clone() })
            }
            PermitAction::Withdraw => Ok(Operation::WithdrawPermit(subject)),
            PermitAction::ForceComplete => Ok(Operation::ForceCompletePermit(subject)),
            PermitAction::Complete => complete_permit(&snapshot, subject),
        };
        let operations: Vec<Operation> = subjects.into_iter().map(operation).collect::<Result<_>>()?;
        self.change(operations, ChangeOptions::with_reason(reason)).await
    }

    /// Prints a worker's drain status whenever it changes, until the worker may be switched off.
    ///
    /// Fails with [`FleetError::NotDrained`] if that takes longer than the time-out.
    pub(super) async fn wait_until_drained(&mut self, worker: &Name) -> Result<()> {
        let (deadline, mut last_printed) = (Instant::now() + self.timeout, None);
        loop {
            let status = match self.request(&Request::DrainStatus(worker.clone())).await? {
                Response::DrainStatus(status) => status,
                other => return Err(FleetError::unexpected(other)),
            };
            let complete = status.is_complete();
            if last_printed.as_ref() != Some(&status) {
                let json = json!({"worker": worker, "may_be_switched_off": complete, "off": status});
                self.print(json, &|| format_drain_status(worker, &status));
            }
            if complete {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(FleetError::NotDrained(worker.clone()));
            }
            last_printed = Some(status);
            tokio::time::sleep(DRAIN_STATUS_INTERVAL).await;
        }
    }
}

/// Returns the operation that completes the subject's current permit.
fn complete_permit(snapshot: &Snapshot, subject: Subject) -> Result<Operation> {
    match snapshot.entries.get(&Key::Permit(subject.clone())).map(|entry| &entry.value) {
        Some(Value::Permit(permit)) => {
            Ok(Operation::CompletePermit(subject, permit.granted_at_revision.unwrap_or(0)))
        }
        _ => Err(FleetError::NoPermit(subject)),
    }
}

fn format_drain_status(worker: &Name, status: &DrainStatus) -> String {
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
