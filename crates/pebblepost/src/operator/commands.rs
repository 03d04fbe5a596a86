//! What each command does.

use super::arguments::{FleetCommand, Reason, ReleaseCommand, Workers};
use super::client::OperatorClient;
use super::error::{FleetError, Result};
use super::files::{read_backup, read_predecessor_store};
use crate::checksummed_file;
use pebblepost_fleet::release_driver::ReleasePolicy;
use pebblepost_fleet::simulation::ReleasePlan;
use pebblepost_fleet::{Action, Budget, Key, Name, Operation};
use pebblepost_fleet_store::protocol::Request;
use serde_json::json;
use std::path::Path;
use std::time::Duration;

impl OperatorClient {
    /// Carries out a command.
    pub(super) async fn execute(&mut self, command: FleetCommand) -> Result<()> {
        match command {
            FleetCommand::Begin => self.begin().await,
            FleetCommand::Status => self.status().await,
            FleetCommand::Add { id, address } => self.add(id, address).await,
            FleetCommand::Remove { id } => self.request_done(&Request::Remove(id)).await,
            FleetCommand::Show { keys } => self.show(keys, |_| true).await,
            FleetCommand::Members => self.show(Vec::new(), |key| matches!(key, Key::Member(_))).await,
            FleetCommand::History { last } => self.history(last).await,
            FleetCommand::Watch { from } => self.watch(from).await,
            FleetCommand::Drain(workers) => self.change_workers(workers, Operation::Drain).await,
            FleetCommand::Undrain(workers) => self.change_workers(workers, Operation::Undrain).await,
            FleetCommand::Set { name, value, reason } => {
                let operation = match value {
                    Some(value) => Operation::SetSetting(name, value),
                    None => Operation::UnsetSetting(name),
                };
                self.change([operation], reason).await
            }
            FleetCommand::Dismiss { member } => {
                self.change([Operation::RemoveMember(member)], Reason::none()).await
            }
            FleetCommand::Budget {
                kind: Some(kind), most: Some(most), zone, machine_kind, least, ..
            } => {
                let budget = Budget {
                    max_unavailable: most,
                    max_unavailable_per_zone: zone,
                    max_unavailable_per_machine_type: machine_kind,
                    min_available_per_zone: least,
                };
                self.change([Operation::SetBudget(kind, budget)], Reason::none()).await
            }
            FleetCommand::Budget { kind: Some(kind), none: true, .. } => {
                self.change([Operation::RemoveBudget(kind)], Reason::none()).await
            }
            FleetCommand::Budget { kind, .. } => self.budgets(kind).await,
            FleetCommand::Permit { what, subjects, urgent, want, why } => {
                self.permits(what, subjects, urgent, &want, why).await
            }
            FleetCommand::Off { worker } => self.wait_until_drained(&worker).await,
            FleetCommand::Release(command) => self.execute_release(command).await,
            FleetCommand::Halt { kind, why } => {
                self.change([Operation::Halt(kind)], Reason { why, expect: None }).await
            }
            FleetCommand::Resume { kind } => self.change([Operation::Resume(kind)], Reason::none()).await,
            FleetCommand::Here { .. } => Ok(()), // Carried out before: it needs no replica.
            FleetCommand::Backup { file } => self.back_up(&file).await,
            FleetCommand::Restore { file } => self.submit(Action::Restore(read_backup(&file)?)).await,
            FleetCommand::Import { file } => self.import(&file).await,
        }
    }

    async fn execute_release(&mut self, command: ReleaseCommand) -> Result<()> {
        match command {
            ReleaseCommand::Start { want, waves, zones, why } => {
                let begin = Operation::BeginRelease { version: want, waves, zone_order: zones };
                self.change([begin], Reason { why, expect: None }).await
            }
            ReleaseCommand::Back { to, why } => {
                self.change([Operation::RollBack(to)], Reason { why, expect: None }).await
            }
            ReleaseCommand::Status => {
                let snapshot = self.snapshot().await?;
                self.print_release(&snapshot);
                Ok(())
            }
            ReleaseCommand::Plan { want, waves, zones, pause_s, restart_s } => {
                let plan = ReleasePlan {
                    version: want,
                    waves,
                    zone_order: zones,
                    observation_time: duration("pause-s", pause_s)?,
                    restart_time: duration("restart-s", restart_s)?,
                };
                self.plan(&plan).await
            }
            ReleaseCommand::Drive { pause_s, wave_timeout_s, crashes, drop, sample } => {
                let observation_time = duration("pause-s", pause_s)?;
                let wave_timeout = duration("patience-s", wave_timeout_s)?;
                if !(0.0..=1.0).contains(&drop) {
                    return Err(FleetError::SuccessRateDrop(drop));
                }
                let policy = ReleasePolicy {
                    observation_time,
                    wave_timeout,
                    max_crashes: crashes,
                    max_success_rate_drop: drop,
                    min_answers: sample,
                };
                self.drive(policy).await
            }
        }
    }

    async fn change_workers(&mut self, workers: Workers, operation: fn(Name) -> Operation) -> Result<()> {
        self.change(workers.workers.into_iter().map(operation), workers.reason).await
    }

    async fn back_up(&mut self, file: &Path) -> Result<()> {
        let snapshot = self.snapshot().await?;
        let (revision, body) = (snapshot.revision, json!(snapshot).to_string());
        let written = checksummed_file::create(file, &body);
        written.map_err(|error| FleetError::Output { path: file.to_owned(), error })?;
        self.print(json!({"revision": revision}), &|| format!("revision {revision} in {}", file.display()));
        Ok(())
    }

    async fn import(&mut self, file: &Path) -> Result<()> {
        let operations = read_predecessor_store(file)?;
        let reason = format!("taken over from {}", file.display());
        let why = reason.parse().map_err(|error| FleetError::input(file, error))?;
        self.change(operations, Reason { why, expect: None }).await
    }
}

fn duration(option: &'static str, seconds: f64) -> Result<Duration> {
    let duration = Duration::try_from_secs_f64(seconds);
    duration.map_err(|error| FleetError::Duration { option, seconds, error })
}
