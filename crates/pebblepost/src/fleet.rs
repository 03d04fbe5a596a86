//! `pebblepost fleet`: an operator asks the keepers, or has them change something.

mod arguments;
mod error;
mod files;
mod keepers;
mod permits;
mod releases;
mod text;
mod view;

pub use arguments::FleetArgs;
pub use error::FleetError;

use crate::kept;
use arguments::{Here, Reason, ReleaseWhat, What};
use error::{Result, misplaced};
use files::{old_store, read_backup};
use pebblepost_fleet::release_driver::ReleasePolicy;
use pebblepost_fleet::simulation::ReleasePlan;
use pebblepost_fleet::{Action, Budget, Key, Name, Operation, Precondition, Snapshot, Text};
use pebblepost_fleet_store::client::{Client, command};
use pebblepost_fleet_store::protocol::{Request, Response};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

/// Carries out one command of an operator.
pub fn run(args: FleetArgs) -> Result<()> {
    let usage = |e: &dyn std::fmt::Display| FleetError::Usage(e.to_string());
    if let What::Here { address, what, worker, why } = &args.what {
        return here(*address, *what, worker.as_ref(), why, args.within);
    }
    if args.keepers.is_empty() {
        return Err(FleetError::Usage(
            "no keepers: name them with --keepers 1=127.0.0.1:7501,2=... or in PEBBLEPOST_KEEPERS".to_owned(),
        ));
    }
    if !(0.01..=3_600.0).contains(&args.within) {
        return Err(FleetError::Usage("--within: 0.01 to 3600 seconds".to_owned()));
    }
    if let Some((_, address)) = args.keepers.iter().find(|(_, a)| !a.ip().is_loopback()) {
        return Err(FleetError::Usage(format!("--keepers: {address} is no loopback address")));
    }
    let by = args.by.parse().map_err(|e| FleetError::Usage(format!("--by: {e}")))?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| usage(&e))?;
    let keepers: BTreeMap<u64, String> = args.keepers.iter().map(|(id, a)| (*id, a.to_string())).collect();
    let within = Duration::from_secs_f64(args.within);
    let client = Client::new(keepers.clone());
    let mut desk = Desk { client, keepers, within, by, json: args.json };
    runtime.block_on(desk.carry_out(args.what))
}

/// One line to a dispatcher's agent, and its answer.
fn here(address: SocketAddr, what: Here, worker: Option<&Name>, why: &Text, within: f64) -> Result<()> {
    let failed = |e: &dyn std::fmt::Display| FleetError::Failed(format!("{address}: {e}"));
    if !(0.01..=3_600.0).contains(&within) {
        return Err(FleetError::Usage("--within: 0.01 to 3600 seconds".to_owned()));
    }
    let ask = match what {
        Here::Show => json!({"show": true}),
        Here::Drain => json!({"drain": worker, "why": why}),
        Here::Undrain => json!({"undrain": worker}),
    };
    let limit = Duration::from_secs_f64(within);
    let mut stream = TcpStream::connect_timeout(&address, limit).map_err(|e| failed(&e))?;
    stream.set_read_timeout(Some(limit)).map_err(|e| failed(&e))?;
    writeln!(stream, "{ask}").map_err(|e| failed(&e))?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(|e| failed(&e))?;
    let reply: Json = serde_json::from_str(&line).map_err(|e| failed(&e))?;
    match reply.get("error").and_then(Json::as_str) {
        Some(why) => Err(failed(&why)),
        None => {
            let _ = writeln!(std::io::stdout(), "{reply}");
            Ok(())
        }
    }
}

fn seconds(name: &str, s: f64) -> Result<Duration> {
    Duration::try_from_secs_f64(s).map_err(|e| FleetError::Usage(format!("--{name}: {s}: {e}")))
}

struct Desk {
    client: Client,
    keepers: BTreeMap<u64, String>,
    within: Duration,
    by: Name,
    json: bool,
}

impl Desk {
    fn say(&self, json: serde_json::Value, text: &dyn Fn() -> String) {
        let line = if self.json { json.to_string() } else { text() };
        if writeln!(std::io::stdout(), "{line}").is_err() {
            std::process::exit(0); // Whoever read it has gone.
        }
    }

    async fn ask(&mut self, ask: &Request) -> Result<Response> {
        Ok(self.client.request(ask, self.within).await?)
    }

    async fn carry_out(&mut self, what: What) -> Result<()> {
        match what {
            What::Begin => self.begin().await,
            What::Status => self.status().await,
            What::Show { keys } => self.show(keys, |_| true).await,
            What::Members => self.show(Vec::new(), |key| matches!(key, Key::Member(_))).await,
            What::History { last } => match self.ask(&Request::History(last)).await? {
                Response::History(changes) => {
                    changes.iter().for_each(|c| self.change(c));
                    Ok(())
                }
                other => Err(misplaced(&other)),
            },
            What::Watch { from } => self.watch(from).await,
            What::Drain(w) => self.change_all(w.workers.into_iter().map(Operation::Drain), w.reason).await,
            What::Undrain(w) => {
                self.change_all(w.workers.into_iter().map(Operation::Undrain), w.reason).await
            }
            What::Set { name, value, reason } => {
                let op = value.map_or_else(
                    || Operation::UnsetSetting(name.clone()),
                    |v| Operation::SetSetting(name.clone(), v),
                );
                self.change_all([op], reason).await
            }
            What::Dismiss { member } => {
                self.change_all([Operation::RemoveMember(member)], Reason::none()).await
            }
            What::Budget { kind: Some(kind), most: Some(most), zone, machine_kind, least, .. } => {
                let (most_in_zone, most_in_kind) = (zone, machine_kind);
                let budget = Budget {
                    max_unavailable: most,
                    max_unavailable_per_zone: most_in_zone,
                    max_unavailable_per_machine_type: most_in_kind,
                    min_available_per_zone: least,
                };
                self.change_all([Operation::SetBudget(kind, budget)], Reason::none()).await
            }
            What::Budget { kind: Some(kind), none: true, .. } => {
                self.change_all([Operation::RemoveBudget(kind)], Reason::none()).await
            }
            What::Budget { kind, .. } => self.budgets(kind).await,
            What::Permit { what, subjects, urgent, want, why } => {
                self.permits(what, subjects, urgent, &want, why).await
            }
            What::Off { worker } => self.off(&worker).await,
            What::Release(ReleaseWhat::Start { want, waves, zones, why }) => {
                self.change_all(
                    [Operation::BeginRelease { version: want, waves, zone_order: zones }],
                    Reason { why, expect: None },
                )
                .await
            }
            What::Release(ReleaseWhat::Back { to, why }) => {
                self.change_all([Operation::RollBack(to)], Reason { why, expect: None }).await
            }
            What::Release(ReleaseWhat::Status) => {
                let snapshot = self.all().await?;
                self.release_status(&snapshot);
                Ok(())
            }
            What::Release(ReleaseWhat::Plan { want, waves, zones, pause_s, restart_s }) => {
                let (pause, restart) = (seconds("pause-s", pause_s)?, seconds("restart-s", restart_s)?);
                self.plan(&ReleasePlan {
                    version: want,
                    waves,
                    zone_order: zones,
                    observation_time: pause,
                    restart_time: restart,
                })
                .await
            }
            What::Release(ReleaseWhat::Drive { pause_s, patience_s, crashes, drop, sample }) => {
                let (pause, patience) = (seconds("pause-s", pause_s)?, seconds("patience-s", patience_s)?);
                if !(0.0..=1.0).contains(&drop) {
                    return Err(FleetError::Usage(format!("--drop: {drop} is not within 0 and 1")));
                }
                self.drive(ReleasePolicy {
                    observation_time: pause,
                    wave_timeout: patience,
                    max_crashes: crashes,
                    max_success_rate_drop: drop,
                    min_answers: sample,
                })
                .await
            }
            What::Halt { kind, why } => {
                self.change_all([Operation::Halt(kind)], Reason { why, expect: None }).await
            }
            What::Resume { kind } => self.change_all([Operation::Resume(kind)], Reason::none()).await,
            What::Here { .. } => Ok(()), // Carried out before: it needs no keeper.
            What::Backup { file } => self.backup(&file).await,
            What::Restore { file } => {
                let backup = read_backup(&file)?;
                self.command(Action::Restore(backup)).await
            }
            What::Import { file } => {
                let ops = old_store(&file)?;
                let why = format!("taken over from {}", file.display());
                let why = why.parse().map_err(|e| FleetError::Usage(format!("{}: {e}", file.display())))?;
                self.change_all(ops, Reason { why, expect: None }).await
            }
            What::Add { id, address } => self.add(id, address).await,
            What::Remove { id } => self.done(&Request::Remove(id)).await,
        }
    }

    async fn done(&mut self, ask: &Request) -> Result<()> {
        match self.ask(ask).await? {
            Response::Done => {
                self.say(json!({"done": true}), &|| "done".to_owned());
                Ok(())
            }
            other => Err(misplaced(&other)),
        }
    }

    /// The whole state as of now.
    async fn all(&mut self) -> Result<Snapshot> {
        match self.ask(&Request::Get(Vec::new())).await? {
            Response::Entries { revision, entries } => Ok(Snapshot { revision, entries }),
            other => Err(misplaced(&other)),
        }
    }

    async fn change_all(&mut self, ops: impl IntoIterator<Item = Operation>, reason: Reason) -> Result<()> {
        let ops: Vec<Operation> = ops.into_iter().collect();
        let expect = ops.iter().map(Operation::key).zip(std::iter::repeat(reason.expect));
        let expect =
            expect.filter_map(|(key, revision)| Some(Precondition { key, revision: revision? })).collect();
        self.command(Action::Change { operations: ops, preconditions: expect, reason: reason.why }).await
    }

    async fn backup(&mut self, file: &Path) -> Result<()> {
        let failed = |e: &dyn std::fmt::Display| FleetError::Failed(format!("{}: {e}", file.display()));
        let snapshot = self.all().await?;
        let (revision, body) = (snapshot.revision, json!(snapshot).to_string());
        kept::create(file, &body).map_err(|e| failed(&e))?;
        self.say(json!({"revision": revision}), &|| format!("revision {revision} in {}", file.display()));
        Ok(())
    }

    async fn command(&mut self, act: Action) -> Result<()> {
        let command = command(self.by.clone(), act);
        let done = self.client.submit(&command, self.within).await??;
        self.say(json!({"revision": done.revision}), &|| format!("agreed at revision {}", done.revision));
        Ok(())
    }
}
