//! Commands for releases: status, plan and drive.

use super::client::OperatorClient;
use super::error::{FleetError, Result};
use pebblepost_fleet::release_driver::{NextStep, ReleaseDriver, ReleasePolicy};
use pebblepost_fleet::simulation::{ReleasePlan, SimulationError, simulate};
use pebblepost_fleet::{Action, Name, Snapshot, SubjectKind};
use pebblepost_fleet_store::client::new_command;
use pebblepost_fleet_store::protocol::{Request, Response};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Interval at which the driver of a release polls the state.
const DRIVE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of dispatchers that a printed plan names per wave.
const MAX_NAMES_PER_WAVE: usize = 5;

impl OperatorClient {
    /// Prints the status of the current release.
    pub(super) fn print_release(&self, snapshot: &Snapshot) {
        let availability = snapshot.availability(SubjectKind::Dispatcher);
        let (all, unavailable) = (availability.subjects.len(), availability.unavailable_count());
        let (reached, queue) = (availability.reached_count(), availability.queue().len());
        let limit = availability.release.map(|release| release.wave_limit(all));
        let json = json!({
            "release": availability.release, "all": all, "reached": reached, "wave_allows": limit,
            "out": unavailable, "waiting": queue, "halted": availability.halted,
            "revision": snapshot.revision,
        });
        self.print(json, &|| match availability.release {
            None => format!("no release goes on; {unavailable} of {all} dispatchers out"),
            Some(release) => {
                let rolled_back = release.rolled_back_version.as_ref();
                let rolled_back = rolled_back.map_or_else(String::new, |from| format!(" (back from {from})"));
                let halted = if availability.halted { ", halted" } else { "" };
                format!(
                    "release {}{rolled_back}: wave {} of {}, {reached} of {all} have it or go to it, {} may by now; \
                     {unavailable} out, {queue} wait{halted}",
                    release.version,
                    release.current_wave + 1,
                    release.waves.len(),
                    limit.unwrap_or(all),
                )
            }
        });
    }

    /// Simulates a release on the current state and prints its waves.
    pub(super) async fn print_plan(&mut self, plan: &ReleasePlan) -> Result<()> {
        let snapshot = self.snapshot().await?;
        let waves = simulate(&snapshot, &self.issuer, plan).map_err(|error| match error {
            SimulationError::Rejected(rejection) => FleetError::Rejected(rejection),
            other => FleetError::Simulation(other),
        })?;
        for (index, wave) in waves.iter().enumerate() {
            let number = index + 1;
            self.print(json!({"wave": number, "plan": wave}), &|| {
                let (count, limit) = (wave.dispatchers.len(), wave.max_unavailable);
                let names = wave.dispatchers.iter().take(MAX_NAMES_PER_WAVE).map(Name::as_str);
                let names: Vec<&str> = names.collect();
                let more = if count > names.len() { ", ..." } else { "" };
                let (start, end, names) = (wave.started_at_s, wave.completed_at_s, names.join(", "));
                format!(
                    "wave {number}: {start:.0} to {end:.0} s, {count} go, at most {limit} out: {names}{more}"
                )
            });
        }
        let all = waves.iter().map(|wave| wave.dispatchers.len()).sum::<usize>();
        let end = waves.last().map_or(0.0, |wave| wave.completed_at_s);
        let revision = snapshot.revision;
        self.print(json!({"dispatchers": all, "seconds": end, "revision": revision}), &|| {
            format!("{all} dispatchers in {end:.0} s, as the state is at revision {revision}")
        });
        Ok(())
    }

    /// Drives a release until it is finished or halted.
    ///
    /// The store group may reject a proposed step that no longer fits the state; the driver then decides anew from the next
    /// snapshot.
    ///
    /// # Errors
    ///
    /// Fails with [`FleetError::ReleaseHalted`] if the release is halted. Unreachable replicas are not an error: the driver
    /// polls until they respond.
    pub(super) async fn drive(&mut self, policy: ReleasePolicy) -> Result<()> {
        let (started_at, mut driver, mut shown_revision) = (Instant::now(), ReleaseDriver::new(policy), 0);
        loop {
            // Without a response from the replicas no step can be taken, so the next iteration tries again.
            if let Ok(snapshot) = self.snapshot().await {
                // Without request counts the driver relies on its other criteria.
                let totals = match self.request(&Request::RequestTotals).await {
                    Ok(Response::RequestTotals(totals)) => totals,
                    _ => BTreeMap::new(),
                };
                let next = driver.next_step(started_at.elapsed(), &snapshot, &totals);
                if std::mem::replace(&mut shown_revision, snapshot.revision) != snapshot.revision {
                    self.print_release(&snapshot);
                }
                match next {
                    NextStep::Wait => {}
                    NextStep::Finished => return Ok(()),
                    NextStep::Halted => return Err(FleetError::ReleaseHalted),
                    NextStep::Propose { operation, reason } => {
                        let (operations, preconditions) = (vec![operation], Vec::new());
                        let reason = reason.parse().unwrap_or_default();
                        self.propose(Action::Change { operations, preconditions, reason }).await;
                    }
                }
            }
            tokio::time::sleep(DRIVE_INTERVAL).await;
        }
    }

    /// Proposes a step of a release, and logs a rejection by the store group. Other failures are ignored.
    async fn propose(&mut self, action: Action) {
        let command = new_command(self.issuer.clone(), action);
        if let Ok(Err(rejection)) = self.client.submit(&command, self.timeout).await {
            tracing::info!(%rejection, "store group rejected a release step");
        }
    }
}
