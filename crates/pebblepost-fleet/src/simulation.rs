//! The simulation of a release before it begins (dry run): the same state, rules and driver, with dispatchers
//! that return after given times. It tells when each wave begins and ends, or why the release would be
//! rejected or stall.

use crate::command::{Action, Command, Operation, Rejection};
use crate::name::{IncarnationId, Name, RequestId, SubjectKind, Text};
use crate::release_driver::{NextStep, ReleaseDriver, ReleasePolicy};
use crate::state::State;
use crate::value::{Limit, MemberInfo, Presence, Release, Role, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// The first half of ids in a simulation. No request of a real fleet has it by chance, so none is answered
/// from memory.
const SIMULATED: u64 = u64::MAX;

/// A release to simulate.
#[derive(Clone, Debug)]
pub struct ReleasePlan {
    /// The version that all dispatchers get.
    pub version: Text,
    /// How many dispatchers may have the version in each wave.
    pub waves: Vec<Limit>,
    /// The order of zones.
    pub zone_order: Vec<Text>,
    /// How long a complete wave is observed.
    pub observation_time: Duration,
    /// The time from a dispatcher's permit to its return.
    pub restart_time: Duration,
}

/// A wave; times count from the beginning of the release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SimulatedWave {
    /// When its first permit is granted, in seconds.
    #[serde(rename = "from_s")]
    pub started_at_s: f64,
    /// When its last dispatcher has returned, in seconds.
    #[serde(rename = "back_s")]
    pub completed_at_s: f64,
    /// Its dispatchers, in the order of their permits.
    #[serde(rename = "goes")]
    pub dispatchers: Vec<Name>,
    /// The most that are unavailable at once, by this release or otherwise.
    #[serde(rename = "most_out")]
    pub max_unavailable: usize,
}

impl SimulatedWave {
    fn new(started_at: Duration) -> Self {
        let started_at_s = started_at.as_secs_f64();
        Self { started_at_s, completed_at_s: started_at_s, dispatchers: Vec::new(), max_unavailable: 0 }
    }
}

/// Why the release would not end.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SimulationError {
    /// It is rejected.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// It stalls.
    #[error("after {stalled_at_s} s nothing goes on in wave {wave}: {reason}")]
    Stalled {
        /// When, in seconds from the beginning.
        stalled_at_s: f64,
        /// The wave, counted from 1.
        wave: usize,
        /// What the first of the queue waits for, or which dispatcher does not return.
        reason: String,
    },
}

/// Simulates a release on a copy of the state.
///
/// # Errors
///
/// The release is rejected, or stalls.
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
    /// Dispatchers that are restarting, and when each returns.
    restarting: BTreeMap<Name, Duration>,
    completed_waves: Vec<SimulatedWave>,
    wave: SimulatedWave,
}

impl<'a> Simulation<'a> {
    fn begin(state: &Snapshot, issued_by: &'a Name, plan: &'a ReleasePlan) -> Result<Self, Rejection> {
        // Nothing halts the release: what stalls is found without waiting.
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

    /// Dispatchers with a permit for their present incarnation begin to restart.
    fn begin_restarts(&mut self) {
        for name in self.leaving() {
            if !self.restarting.contains_key(&name) {
                self.restarting.insert(name.clone(), self.now + self.plan.restart_time);
                self.wave.dispatchers.push(name);
            }
        }
    }

    fn leaving(&self) -> BTreeSet<Name> {
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

    /// When a dispatcher returns, or the observation is over.
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
        let incarnation_id = IncarnationId(SIMULATED, self.commands + 1);
        self.apply(name, Action::Join { member: name.clone(), incarnation_id, info })
    }

    fn apply_operation(&mut self, operation: Operation) -> Result<(), Rejection> {
        let operations = vec![operation];
        let action = Action::Change { operations, preconditions: Vec::new(), reason: Text::default() };
        self.apply(self.issued_by, action)
    }

    fn apply(&mut self, issued_by: &Name, action: Action) -> Result<(), Rejection> {
        self.commands += 1;
        let id = RequestId(SIMULATED, self.commands);
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
