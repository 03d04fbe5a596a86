//! Releases: how one stands, its plan, and driving it.

use super::Desk;
use super::error::{FleetError, Result};
use pebblepost_fleet::command::Act;
use pebblepost_fleet::driver::{Driver, Next, Pace};
use pebblepost_fleet::rehearsal::{Never, Play, rehearse};
use pebblepost_fleet::state::Snapshot;
use pebblepost_fleet::{Kind, Name};
use pebblepost_fleet_store::client::command;
use pebblepost_fleet_store::wire::{Ask, Say};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

impl Desk {
    pub(super) fn release_status(&self, snapshot: &Snapshot) {
        let roll = snapshot.roll(Kind::Dispatcher);
        let (all, out, reached, queue) = (roll.all.len(), roll.out(), roll.reached(), roll.queue().len());
        let cap = roll.release.map(|r| r.cap(all));
        let told = json!({
            "release": roll.release, "all": all, "reached": reached, "wave_allows": cap, "out": out,
            "waiting": queue, "halted": roll.halted, "revision": snapshot.revision,
        });
        self.say(told, &|| match roll.release {
            None => format!("no release goes on; {out} of {all} dispatchers out"),
            Some(r) => format!(
                "release {}{}: wave {} of {}, {reached} of {all} have it or go to it, {} may by now; {out} out, {queue} wait{}",
                r.want,
                r.from.as_ref().map_or_else(String::new, |from| format!(" (back from {from})")),
                r.wave + 1,
                r.waves.len(),
                cap.unwrap_or(all),
                if roll.halted { ", halted" } else { "" }
            ),
        });
    }

    /// Says what a release would do.
    pub(super) async fn plan(&mut self, play: &Play) -> Result<()> {
        let snapshot = self.all().await?;
        let waves = rehearse(&snapshot, &self.by, play).map_err(|never| match never {
            Never::Refused(refused) => FleetError::Refused(refused),
            stands_still => FleetError::Failed(stands_still.to_string()),
        })?;
        for (n, wave) in waves.iter().enumerate() {
            self.say(json!({"wave": n + 1, "plan": wave}), &|| {
                let (goes, most) = (wave.goes.len(), wave.most_out);
                let names: Vec<&str> = wave.goes.iter().take(5).map(Name::as_str).collect();
                let more = if goes > names.len() { ", ..." } else { "" };
                let (from, back, names) = (wave.from_s, wave.back_s, names.join(", "));
                format!(
                    "wave {}: {from:.0} to {back:.0} s, {goes} go, at most {most} out: {names}{more}",
                    n + 1
                )
            });
        }
        let (all, whole) =
            (waves.iter().map(|w| w.goes.len()).sum::<usize>(), waves.last().map_or(0.0, |w| w.back_s));
        self.say(json!({"dispatchers": all, "seconds": whole, "revision": snapshot.revision}), &|| {
            format!("{all} dispatchers in {whole:.0} s, as the state is at revision {}", snapshot.revision)
        });
        Ok(())
    }

    /// Drives a release. What it asks for is refused if it makes no sense by then; it looks again.
    pub(super) async fn drive(&mut self, pace: Pace) -> Result<()> {
        let (began, mut driver, mut shown) = (Instant::now(), Driver::new(pace), 0);
        loop {
            // Without keepers nothing goes on, and nothing can be done about that here.
            if let Ok(snapshot) = self.all().await {
                // Without word of how requests go it is driven by the rest of the signs.
                let tallies = match self.ask(&Ask::Tallies).await {
                    Ok(Say::Tallies(tallies)) => tallies,
                    _ => BTreeMap::new(),
                };
                let next = driver.look(began.elapsed(), &snapshot, &tallies);
                if std::mem::replace(&mut shown, snapshot.revision) != snapshot.revision {
                    self.release_status(&snapshot);
                }
                match next {
                    Next::Wait => {}
                    Next::Over => return Ok(()),
                    Next::Halted => return Err(FleetError::Failed("the release is halted".to_owned())),
                    Next::Ask(op, why) => {
                        let why = why.parse().unwrap_or_default();
                        let act = Act::Change { ops: vec![op], expect: Vec::new(), why };
                        let asked = self.client.command(&command(self.by.clone(), act), self.within).await;
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
