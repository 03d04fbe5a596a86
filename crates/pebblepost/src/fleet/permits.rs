//! Budgets, permits, and when a worker may be switched off.

use super::Desk;
use super::arguments::{PermitWhat, Reason};
use super::error::{FleetError, Result, misplaced};
use super::text::told_budget;
use pebblepost_fleet::value::Value;
use pebblepost_fleet::{Key, Name, Operation, Snapshot, Subject, SubjectKind, Text};
use pebblepost_fleet_store::protocol::{Request, Response};
use serde_json::{Value as Json, json};
use std::time::{Duration, Instant};

impl Desk {
    /// What is out and what waits, and why.
    pub(super) async fn budgets(&mut self, only: Option<SubjectKind>) -> Result<()> {
        let snapshot = self.all().await?;
        for kind in [SubjectKind::Dispatcher, SubjectKind::Worker]
            .into_iter()
            .filter(|k| only.is_none_or(|o| o == *k))
        {
            let roll = snapshot.availability(kind);
            let waits = |name: &Name| roll.check(name).err().map_or_else(String::new, |w| w.to_string());
            let queue: Vec<Json> =
                roll.queue().into_iter().map(|n| json!({"name": n, "waits": waits(n)})).collect();
            let out: Vec<Json> = roll
                .subjects
                .iter()
                .filter(|(_, s)| s.unavailable)
                .map(|(n, s)| json!({"name": n, "permit": s.permit.and_then(|p| p.granted_at_revision)}))
                .collect();
            let told = json!({
                "kind": kind, "all": roll.subjects.len(), "out": out, "queue": queue,
                "budget": roll.budget, "halted": roll.halted,
            });
            self.say(told, &|| {
                let budget = roll.budget.map_or("no budget".to_owned(), |b| told_budget(&b));
                let halted = if roll.halted { ", halted" } else { "" };
                let mut text = format!(
                    "{kind}: {} of {} out; {budget}{halted}",
                    roll.unavailable(),
                    roll.subjects.len()
                );
                for (name, standing) in roll.subjects.iter().filter(|(_, s)| s.unavailable) {
                    let why = match standing.permit.and_then(|p| p.granted_at_revision) {
                        Some(at) => format!("by a permit of revision {at}"),
                        None => "without a permit".to_owned(),
                    };
                    text.push_str(&format!("\n  out    {name}\t{why}"));
                }
                for (place, name) in roll.queue().into_iter().enumerate() {
                    text.push_str(&format!("\n  waits  {name}\t{} in the queue: {}", place + 1, waits(name)));
                }
                text
            });
        }
        Ok(())
    }

    pub(super) async fn permits(
        &mut self, what: PermitWhat, subjects: Vec<Subject>, urgent: bool, want: &Text, why: Text,
    ) -> Result<()> {
        let mut ops = Vec::new();
        // A permit that another one has taken the place of must not be ended: the one that is seen now is named.
        let now = if what == PermitWhat::Back { self.all().await? } else { Snapshot::default() };
        for subject in subjects {
            ops.push(match what {
                PermitWhat::Ask => Operation::RequestPermit { subject, urgent, version: want.clone() },
                PermitWhat::Withdraw => Operation::WithdrawPermit(subject),
                PermitWhat::Force => Operation::ForceCompletePermit(subject),
                PermitWhat::Back => match now.entries.get(&Key::Permit(subject.clone())).map(|e| &e.value) {
                    Some(Value::Permit(permit)) => {
                        Operation::CompletePermit(subject, permit.granted_at_revision.unwrap_or(0))
                    }
                    _ => return Err(FleetError::Usage(format!("{subject} has no permit"))),
                },
            });
        }
        self.change_all(ops, Reason { why, expect: None }).await
    }

    pub(super) async fn off(&mut self, worker: &Name) -> Result<()> {
        let (end, mut shown) = (Instant::now() + self.within, None);
        loop {
            let off = match self.ask(&Request::DrainStatus(worker.clone())).await? {
                Response::DrainStatus(off) => off,
                other => return Err(misplaced(&other)),
            };
            let may = off.is_complete();
            if shown.as_ref() != Some(&off) {
                self.say(json!({"worker": worker, "may_be_switched_off": may, "off": off}), &|| {
                    let Some(at) = off.granted_at_revision else { return format!("{worker}: no permit is granted") };
                    let confirmed = off.confirmed.len();
                    let missing = off.unconfirmed.iter().map(|(name, why)| format!("\n  {name}\t{why}"));
                    let verdict = if may { "may be switched off" } else { "may not be switched off yet" };
                    let missing: String = missing.collect();
                    format!(
                        "{worker}: permit of revision {at}, {confirmed} dispatchers confirmed: {verdict}{missing}"
                    )
                });
            }
            if may {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(FleetError::Failed(format!("{worker} may not be switched off yet")));
            }
            shown = Some(off);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
