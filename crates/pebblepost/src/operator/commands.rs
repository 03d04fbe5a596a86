//! Dispatch of the operator's commands.

use super::arguments::{ChangeOptions, DrainArgs, FleetCommand, ReleaseCommand};
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
    /// Executes a command.
    pub(super) async fn execute(&mut self, command: FleetCommand) -> Result<()> {
        match command {
            FleetCommand::InitializeGroup => self.initialize_group().await,
            FleetCommand::Status => self.status().await,
            FleetCommand::AddReplica { id, address } => self.add_replica(id, address).await,
            FleetCommand::RemoveReplica { id } => self.request_done(&Request::Remove(id)).await,
            FleetCommand::Show { keys } => self.show(keys, |_| true).await,
            FleetCommand::Members => self.show(Vec::new(), |key| matches!(key, Key::Member(_))).await,
            FleetCommand::History { last } => self.history(last).await,
            FleetCommand::Watch { from } => self.watch(from).await,
            FleetCommand::Drain(args) => self.change_workers(args, Operation::Drain).await,
            FleetCommand::Undrain(args) => self.change_workers(args, Operation::Undrain).await,
            FleetCommand::Set { name, value, options } => {
                let operation = match value {
                    Some(value) => Operation::SetSetting(name, value),
                    None => Operation::UnsetSetting(name),
                };
                self.change([operation], options).await
            }
            FleetCommand::RemoveMember { member } => {
                self.change([Operation::RemoveMember(member)], ChangeOptions::none()).await
            }
            FleetCommand::Budget {
                kind: Some(kind),
                max_unavailable: Some(max_unavailable),
                max_unavailable_per_zone,
                max_unavailable_per_machine_type,
                min_available_per_zone,
                ..
            } => {
                let budget = Budget {
                    max_unavailable,
                    max_unavailable_per_zone,
                    max_unavailable_per_machine_type,
                    min_available_per_zone,
                };
                self.change([Operation::SetBudget(kind, budget)], ChangeOptions::none()).await
            }
            FleetCommand::Budget { kind: Some(kind), remove: true, .. } => {
                self.change([Operation::RemoveBudget(kind)], ChangeOptions::none()).await
            }
            FleetCommand::Budget { kind, .. } => self.show_budgets(kind).await,
            FleetCommand::Permit { action, subjects, urgent, version, reason } => {
                self.change_permits(action, subjects, urgent, &version, reason).await
            }
            FleetCommand::WaitUntilDrained { worker } => self.wait_until_drained(&worker).await,
            FleetCommand::Release(command) => self.execute_release(command).await,
            FleetCommand::Halt { kind, reason } => {
                self.change([Operation::Halt(kind)], ChangeOptions::with_reason(reason)).await
            }
            FleetCommand::Resume { kind } => {
                self.change([Operation::Resume(kind)], ChangeOptions::none()).await
            }
            FleetCommand::Local { .. } => Ok(()), // Already executed by `run`, as it needs no replica.
            FleetCommand::Backup { file } => self.back_up(&file).await,
            FleetCommand::Restore { file } => self.submit(Action::Restore(read_backup(&file)?)).await,
            FleetCommand::Import { file } => self.import(&file).await,
        }
    }

    async fn execute_release(&mut self, command: ReleaseCommand) -> Result<()> {
        match command {
            ReleaseCommand::Start { version, waves, zone_order, reason } => {
                let begin = Operation::BeginRelease { version, waves, zone_order };
                self.change([begin], ChangeOptions::with_reason(reason)).await
            }
            ReleaseCommand::RollBack { version, reason } => {
                self.change([Operation::RollBack(version)], ChangeOptions::with_reason(reason)).await
            }
            ReleaseCommand::Status => {
                let snapshot = self.snapshot().await?;
                self.print_release(&snapshot);
                Ok(())
            }
            ReleaseCommand::Plan { version, waves, zone_order, observation_s, restart_s } => {
                let plan = ReleasePlan {
                    version,
                    waves,
                    zone_order,
                    observation_time: parse_duration("pause-s", observation_s)?,
                    restart_time: parse_duration("restart-s", restart_s)?,
                };
                self.print_plan(&plan).await
            }
            ReleaseCommand::Drive {
                observation_s,
                wave_timeout_s,
                max_crashes,
                max_success_rate_drop,
                min_answers,
            } => {
                let observation_time = parse_duration("pause-s", observation_s)?;
                let wave_timeout = parse_duration("patience-s", wave_timeout_s)?;
                if !(0.0..=1.0).contains(&max_success_rate_drop) {
                    return Err(FleetError::SuccessRateDrop(max_success_rate_drop));
                }
                let policy = ReleasePolicy {
                    observation_time,
                    wave_timeout,
                    max_crashes,
                    max_success_rate_drop,
                    min_answers,
                };
                self.drive(policy).await
            }
        }
    }

    async fn change_workers(&mut self, args: DrainArgs, operation: fn(Name) -> Operation) -> Result<()> {
        self.change(args.workers.into_iter().map(operation), args.options).await
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
        let reason = reason.parse().map_err(|error| FleetError::input(file, error))?;
        self.change(operations, ChangeOptions::with_reason(reason)).await
    }
}

fn parse_duration(option: &'static str, seconds: f64) -> Result<Duration> {
    let duration = Duration::try_from_secs_f64(seconds);
    duration.map_err(|error| FleetError::Duration { option, seconds, error })
}
