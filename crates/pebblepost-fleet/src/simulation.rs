//! The simulation of a release before it begins (dry run). It uses the same state, rules and driver, with
//! dispatchers that return after a given time. It reports when each wave begins and ends, or why the release
//! would be rejected or stall.

use crate::command::{Action, Command, Operation, Rejection};
use crate::name::{IncarnationId, Name, RequestId, SubjectKind, Text};
use crate::release_driver::{NextStep, ReleaseDriver, ReleasePolicy};
use crate::state::State;
use crate::value::{Limit, MemberInfo, Presence, Release, Role, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// First half of all ids in a simulation. It keeps them apart from the ids of real requests, whose stored
/// results would otherwise be returned. Real ids are random, so a collision is practically
/// impossible.
const SIMULATION_ID_PREFIX: u64 = u64::MAX;

/// A release to simulate.
#[derive(Clone, Debug)]
pub struct ReleasePlan {
    /// Version to which all dispatchers change.
    pub version: Text,
    /// Number of dispatchers that may have the version in each wave, those of earlier waves included.
    pub waves: Vec<Limit>,
    /// Order of zones; zones that are not listed come last.
    pub zone_order: Vec<Text>,
    /// Time for which a complete wave is observed.
    pub observation_time: Duration,
    /// Time from the grant of a dispatcher's permit to its return.
    pub restart_time: Duration,
}

/// A simulated wave. Times count from the start of the release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SimulatedWave {
    /// Time at which the wave begins, in seconds.
    #[serde(rename = "from_s")]
    pub started_at_s: f64,
    /// Time at which its last dispatcher has returned, in seconds.
    #[serde(rename = "back_s")]
    pub completed_at_s: f64,
    /// Dispatchers that restart in the wave, in the order in which they do.
    #[serde(rename = "goes")]
    pub dispatchers: Vec<Name>,
    /// Maximum number of dispatchers unavailable at once, due to this release or for other reasons.
    #[serde(rename = "most_out")]
    pub max_unavailable: usize,
}

impl SimulatedWave {
    fn new(started_at: Duration) -> Self {
        let started_at_s = started_at.as_secs_f64();
        Self { started_at_s, completed_at_s: started_at_s, dispatchers: Vec::new(), max_unavailable: 0 }
    }
}

/// A simulated release does not end.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SimulationError {
    /// The release is rejected.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The release stalls.
    #[error("after {stalled_at_s} s nothing goes on in wave {wave}: {reason}")]
    Stalled {
        /// Time of the stall, in seconds from the start of the release.
        stalled_at_s: f64,
        /// Wave in which it stalls, counted from 1.
        wave: usize,
        /// Why the first dispatcher of the queue waits, or which dispatcher does not return.
        reason: String,
    },
}

/// Simulates a release on a copy of the state.
///
/// # Errors
///
/// Fails if the release is rejected or stalls.
pub fn simulate(
    state: &Snapshot, issued_by: &Name, plan: &ReleasePlan,
) -> Result<Vec<SimulatedWave>, SimulationError> {
    Simulation::begin(state, issued_by, plan)?.run()
}

struct Simulation<'a> {
    plan: &'a ReleasePlan,
    issued_by: &'a Name,
    state: State,
    driver: ReleaseDriver,
    commands: u64,
    now: Duration,
    /// Restarting dispatchers, with the time at which each returns.
    restarting: BTreeMap<Name, Duration>,
    completed_waves: Vec<SimulatedWave>,
    wave: SimulatedWave,
}

impl<'a> Simulation<'a> {
    fn begin(state: &Snapshot, issued_by: &'a Name, plan: &'a ReleasePlan) -> Result<Self, Rejection> {
        // The driver never halts a simulated release; `next_event` detects a stall without waiting.
        let policy = ReleasePolicy {
            observation_time: plan.observation_time,
            wave_timeout: Duration::MAX,
            max_crashes: u64::MAX,
            max_success_rate_drop: 1.0,
            min_answers: 0,
        };
        let mut simulation = Self {
            plan,
            issued_by,
            state: State::from_snapshot(state.clone()),
            driver: ReleaseDriver::new(policy),
            commands: 0,
            now: Duration::ZERO,
            restarting: BTreeMap::new(),
            completed_waves: Vec::new(),
            wave: SimulatedWave::new(Duration::ZERO),
        };
        simulation.apply_operation(Operation::BeginRelease {
            version: plan.version.clone(),
            waves: plan.waves.clone(),
            zone_order: plan.zone_order.clone(),
        })?;
        Ok(simulation)
    }

    fn run(mut self) -> Result<Vec<SimulatedWave>, SimulationError> {
        loop {
            self.begin_restarts();
            let unavailable = self.state.availability(SubjectKind::Dispatcher).unavailable_count();
            self.wave.max_unavailable = self.wave.max_unavailable.max(unavailable);
            match self.driver.next_step(self.now, &self.state.snapshot(), &BTreeMap::new()) {
                NextStep::Finished => {
                    self.completed_waves.push(self.wave);
                    return Ok(self.completed_waves);
                }
                NextStep::Propose { operation, .. } => self.propose(operation)?,
                NextStep::Wait | NextStep::Halted => {
                    self.now = self.next_event()?;
                    self.complete_restarts()?;
                }
            }
        }
    }

    fn propose(&mut self, operation: Operation) -> Result<(), Rejection> {
        let advances = matches!(operation, Operation::AdvanceWave(_));
        self.apply_operation(operation)?;
        if advances {
            let next = SimulatedWave::new(self.now);
            self.completed_waves.push(std::mem::replace(&mut self.wave, next));
        }
        Ok(())
    }

    /// Starts the restart of dispatchers whose present incarnation has a granted permit.
    fn begin_restarts(&mut self) {
        for name in self.permitted_dispatchers() {
            if !self.restarting.contains_key(&name) {
                self.restarting.insert(name.clone(), self.now + self.plan.restart_time);
                self.wave.dispatchers.push(name);
            }
        }
    }

    fn permitted_dispatchers(&self) -> BTreeSet<Name> {
        let granted = self
            .state
            .permits()
            .filter(|(subject, permit)| subject.kind == SubjectKind::Dispatcher && permit.is_granted());
        let leaving = granted.filter(|(subject, permit)| {
            self.state.member(&subject.name).is_some_and(|member| {
                member.incarnation_id() == permit.incarnation_id && member.presence == Presence::Present
            })
        });
        leaving.map(|(subject, _)| subject.name.clone()).collect()
    }

    /// Returns the time at which the next dispatcher returns or the observation ends.
    fn next_event(&self) -> Result<Duration, SimulationError> {
        if let Some(returns_at) = self.restarting.values().copied().min() {
            return Ok(returns_at);
        }
        let availability = self.state.availability(SubjectKind::Dispatcher);
        let is_last_wave = availability.release.is_some_and(Release::is_last_wave);
        if availability.wave_is_complete() && !is_last_wave && !availability.halted {
            return Ok(self.now + self.plan.observation_time);
        }
        Err(SimulationError::Stalled {
            stalled_at_s: self.now.as_secs_f64(),
            wave: self.completed_waves.len() + 1,
            reason: self.stall_reason(),
        })
    }

    fn complete_restarts(&mut self) -> Result<(), Rejection> {
        let returned = self.restarting.iter().filter(|(_, returns_at)| **returns_at <= self.now);
        let returned: Vec<Name> = returned.map(|(name, _)| name.clone()).collect();
        for name in returned {
            self.restarting.remove(&name);
            self.rejoin(&name)?;
            self.wave.completed_at_s = self.now.as_secs_f64();
        }
        Ok(())
    }

    fn rejoin(&mut self, name: &Name) -> Result<(), Rejection> {
        let Some(member) = self.state.member(name) else { return Ok(()) };
        let version = self.plan.version.clone();
        let info = MemberInfo { version, ready: true, role: Role::Dispatcher, ..member.info.clone() };
        let incarnation_id = IncarnationId(SIMULATION_ID_PREFIX, self.commands + 1);
        self.apply(name, Action::Join { member: name.clone(), incarnation_id, info })
    }

    fn apply_operation(&mut self, operation: Operation) -> Result<(), Rejection> {
        let operations = vec![operation];
        let action = Action::Change { operations, preconditions: Vec::new(), reason: Text::default() };
        self.apply(self.issued_by, action)
    }

    fn apply(&mut self, issued_by: &Name, action: Action) -> Result<(), Rejection> {
        self.commands += 1;
        let id = RequestId(SIMULATION_ID_PREFIX, self.commands);
        let command = Command { id, issued_by: issued_by.clone(), issued_at_ms: 0, action };
        self.state.apply(&command).map(drop)
    }

    fn stall_reason(&self) -> String {
        let availability = self.state.availability(SubjectKind::Dispatcher);
        let queue = availability.queue();
        let waiting = queue.first().and_then(|name| Some((*name, availability.check_grant(name).err()?)));
        let unavailable = availability.subjects.iter().find(|(_, status)| status.unavailable);
        match (waiting, unavailable) {
            (Some((name, reason)), _) => format!("{name} waits, as {reason}"),
            (None, Some((name, _))) => format!("{name} is out and does not come back"),
            (None, None) => "a dispatcher has another version".to_owned(),
        }
    }
}
