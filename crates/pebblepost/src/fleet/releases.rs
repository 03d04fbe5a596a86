//! Releases: how one stands, its plan, and driving it.

use super::Desk;
use super::error::{FleetError, Result};
use pebblepost_fleet::release_driver::{NextStep, ReleaseDriver, ReleasePolicy};
use pebblepost_fleet::simulation::{ReleasePlan, SimulationError, simulate};
use pebblepost_fleet::{Action, Name, Snapshot, SubjectKind};
use pebblepost_fleet_store::client::command;
use pebblepost_fleet_store::protocol::{Request, Response};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

impl Desk {
    pub(super) fn release_status(&self, snapshot: &Snapshot) {
        let roll = snapshot.availability(SubjectKind::Dispatcher);
        let (all, out, reached, queue) =
            (roll.subjects.len(), roll.unavailable(), roll.reached(), roll.queue().len());
        let cap = roll.release.map(|r| r.wave_limit(all));
        let told = json!({
            "release": roll.release, "all": all, "reached": reached, "wave_allows": cap, "out": out,
            "waiting": queue, "halted": roll.halted, "revision": snapshot.revision,
        });
        self.say(told, &|| match roll.release {
            None => format!("no release goes on; {out} of {all} dispatchers out"),
            Some(r) => format!(
                "release {}{}: wave {} of {}, {reached} of {all} have it or go to it, {} may by now; {out} out, {queue} wait{}",
                r.version,
                r.rolled_back_version.as_ref().map_or_else(String::new, |from| format!(" (back from {from})")),
                r.current_wave + 1,
                r.waves.len(),
                cap.unwrap_or(all),
                if roll.halted { ", halted" } else { "" }
            ),
        });
    }

    /// Says what a release would do.
    pub(super) async fn plan(&mut self, play: &ReleasePlan) -> Result<()> {
        let snapshot = self.all().await?;
        let waves = simulate(&snapshot, &self.by, play).map_err(|never| match never {
            SimulationError::Rejected(refused) => FleetError::Refused(refused),
            stands_still => FleetError::Failed(stands_still.to_string()),
        })?;
        for (n, wave) in waves.iter().enumerate() {
            self.say(json!({"wave": n + 1, "plan": wave}), &|| {
                let (goes, most) = (wave.dispatchers.len(), wave.max_unavailable);
                let names: Vec<&str> = wave.dispatchers.iter().take(5).map(Name::as_str).collect();
                let more = if goes > names.len() { ", ..." } else { "" };
                let (from, back, names) = (wave.started_at_s, wave.completed_at_s, names.join(", "));
                format!(
                    "wave {}: {from:.0} to {back:.0} s, {goes} go, at most {most} out: {names}{more}",
                    n + 1
                )
            });
        }
        let (all, whole) = (
            waves.iter().map(|w| w.dispatchers.len()).sum::<usize>(),
            waves.last().map_or(0.0, |w| w.completed_at_s),
        );
        self.say(json!({"dispatchers": all, "seconds": whole, "revision": snapshot.revision}), &|| {
            format!("{all} dispatchers in {whole:.0} s, as the state is at revision {}", snapshot.revision)
        });
        Ok(())
    }

    /// Drives a release. What it asks for is refused if it makes no sense by then; it looks again.
    pub(super) async fn drive(&mut self, pace: ReleasePolicy) -> Result<()> {
        let (began, mut driver, mut shown) = (Instant::now(), ReleaseDriver::new(pace), 0);
        loop {
            // Without keepers nothing goes on, and nothing can be done about that here.
            if let Ok(snapshot) = self.all().await {
                // Without word of how requests go it is driven by the rest of the signs.
                let tallies = match self.ask(&Request::RequestTotals).await {
                    Ok(Response::RequestTotals(tallies)) => tallies,
                    _ => BTreeMap::new(),
                };
                let next = driver.next_step(began.elapsed(), &snapshot, &tallies);
                if std::mem::replace(&mut shown, snapshot.revision) != snapshot.revision {
                    self.release_status(&snapshot);
                }
                match next {
                    NextStep::Wait => {}
                    NextStep::Finished => return Ok(()),
                    NextStep::Halted => return Err(FleetError::Failed("the release is halted".to_owned())),
                    NextStep::Propose { operation: op, reason: why } => {
                        let why = why.parse().unwrap_or_default();
                        let act =
                            Action::Change { operations: vec![op], preconditions: Vec::new(), reason: why };
                        let asked = self.client.submit(&command(self.by.clone(), act), self.within).await;
                        if let Ok(Err(refused)) = asked {
                            tracing::info!(%refused, "not by now");
                        }
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    }
}
