//! Releases: the status of one, its plan, and driving it.

use super::client::OperatorClient;
use super::error::{FleetError, Result};
use pebblepost_fleet::release_driver::{NextStep, ReleaseDriver, ReleasePolicy};
use pebblepost_fleet::simulation::{ReleasePlan, SimulationError, simulate};
use pebblepost_fleet::{Action, Name, Snapshot, SubjectKind};
use pebblepost_fleet_store::client::command;
use pebblepost_fleet_store::protocol::{Request, Response};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Interval at which a release that is driven is looked at.
const DRIVE_INTERVAL: Duration = Duration::from_millis(250);
/// Most dispatchers of a wave that a plan names.
const MAX_NAMES_SHOWN: usize = 5;

impl OperatorClient {
    /// Prints the status of the release.
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

    /// Prints what a release would do.
    pub(super) async fn plan(&mut self, plan: &ReleasePlan) -> Result<()> {
        let snapshot = self.snapshot().await?;
        let waves = simulate(&snapshot, &self.issuer, plan).map_err(|error| match error {
            SimulationError::Rejected(rejection) => FleetError::Rejected(rejection),
            other => FleetError::Simulation(other),
        })?;
        for (index, wave) in waves.iter().enumerate() {
            let number = index + 1;
            self.print(json!({"wave": number, "plan": wave}), &|| {
                let (count, limit) = (wave.dispatchers.len(), wave.max_unavailable);
                let names = wave.dispatchers.iter().take(MAX_NAMES_SHOWN).map(Name::as_str);
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

    /// Drives a release to its end, or until it is halted. What it proposes is rejected if it makes no sense by then; the
    /// state is looked at again.
    pub(super) async fn drive(&mut self, policy: ReleasePolicy) -> Result<()> {
        let (began, mut driver, mut shown_revision) = (Instant::now(), ReleaseDriver::new(policy), 0);
        loop {
            // Without replicas nothing goes on, and nothing can be done about that here.
            if let Ok(snapshot) = self.snapshot().await {
                // Without the counts of requests the release is driven by the other signs.
                let totals = match self.request(&Request::RequestTotals).await {
                    Ok(Response::RequestTotals(totals)) => totals,
                    _ => BTreeMap::new(),
                };
                let next = driver.next_step(began.elapsed(), &snapshot, &totals);
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

    /// Proposes a step of a release, which the group may reject.
    async fn propose(&mut self, action: Action) {
        let command = command(self.issuer.clone(), action);
        if let Ok(Err(rejection)) = self.client.submit(&command, self.timeout).await {
            tracing::info!(%rejection, "release step rejected");
        }
    }
}
