//! The driver of a release, which inspects the state periodically and proposes the next wave, the end or a
//! halt.
//!
//! It never decides which dispatcher restarts; the state does (see [`crate::availability`]). So a driver that
//! has stopped, is late or is duplicated can delay a release but cannot violate its rules. Time is monotonic
//! and passed as an argument.

mod halt;
mod success_rates;

use crate::command::Operation;
use crate::leader::IncarnationRequests;
use crate::name::{Key, Name, SubjectKind};
use crate::value::{Presence, Release, Snapshot, Value};
use halt::HaltReason;
use std::collections::BTreeMap;
use std::time::Duration;
use success_rates::SuccessRates;

/// Maximum factor by which an observation is extended while the new version has too few answers.
const MAX_OBSERVATION_TIME_FACTOR: u32 = 3;

/// The times and thresholds by which the driver decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleasePolicy {
    /// Time for which a complete wave is observed before the next one begins.
    pub observation_time: Duration,
    /// Time within which a wave must be complete; otherwise the release halts.
    pub wave_timeout: Duration,
    /// Number of crashes at which the release halts. A crash is a new incarnation, without a permit, of a
    /// dispatcher with the new version.
    pub max_crashes: u64,
    /// Maximum difference by which the success rate of the new version may be lower than that of the old one
    /// during an observation, as a fraction of requests.
    pub max_success_rate_drop: f64,
    /// Minimum number of answers for a success rate to be compared. 0 disables the comparison.
    pub min_answers: u64,
}

/// The next step of a release.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// Nothing to do now.
    Wait,
    /// Propose a change of the state.
    Propose {
        /// Operation to propose.
        operation: Operation,
        /// Reason, for the history.
        reason: String,
    },
    /// The release is halted; an operator has to resume it or roll it back.
    Halted,
    /// There is no release in progress.
    Finished,
}

impl NextStep {
    fn halt(reason: &HaltReason) -> Self {
        let operation = Operation::Halt(SubjectKind::Dispatcher);
        Self::Propose { operation, reason: reason.to_string() }
    }
}

/// The driver of a release, with its observations of the present wave.
#[derive(Clone, Debug)]
pub struct ReleaseDriver {
    policy: ReleasePolicy,
    wave: Option<u32>,
    wave_began_at: Duration,
    /// Time since which the wave has been complete and observed.
    complete_since: Option<Duration>,
    /// Number of crashes at the last step.
    crashes: u64,
    /// Incarnation number of each dispatcher when it was first seen with the new version.
    first_incarnations: BTreeMap<Name, u64>,
    success_rates: SuccessRates,
}

impl ReleaseDriver {
    /// Returns a driver without observations.
    pub fn new(policy: ReleasePolicy) -> Self {
        Self {
            policy,
            wave: None,
            wave_began_at: Duration::ZERO,
            complete_since: None,
            crashes: 0,
            first_incarnations: BTreeMap::new(),
            success_rates: SuccessRates::default(),
        }
    }

    /// Returns the next step, according to the present state and the request counts of the dispatchers.
    pub fn next_step(
        &mut self, now: Duration, state: &Snapshot, requests: &BTreeMap<Name, IncarnationRequests>,
    ) -> NextStep {
        let availability = state.availability(SubjectKind::Dispatcher);
        let Some(release) = availability.release else { return NextStep::Finished };
        if self.wave != Some(release.current_wave) || availability.halted {
            // The time limit restarts with each wave, and at the end of a halt.
            (self.wave, self.wave_began_at, self.complete_since) = (Some(release.current_wave), now, None);
        }
        let crashes = self.count_crashes(release, state);
        if std::mem::replace(&mut self.crashes, crashes) != crashes {
            // A dispatcher may return between two steps, so that the wave looks complete throughout. The
            // crash restarts the observation.
            self.complete_since = None;
        }
        if availability.halted {
            return NextStep::Halted;
        }
        if crashes >= self.policy.max_crashes {
            (self.crashes, self.first_incarnations) = (0, BTreeMap::new());
            let version = release.version.clone();
            return NextStep::halt(&HaltReason::Crashes { crashes, version });
        }
        if !availability.wave_is_complete() {
            return self.incomplete_wave(now, release);
        }
        let observed = match self.observe(now, release, state, requests) {
            Ok(observed) => observed,
            Err(reason) => return NextStep::halt(&reason),
        };
        let has_permits = availability.subjects.values().any(|status| status.permit.is_some());
        match release.is_last_wave() {
            // In a rollback, permits may still be waiting for dispatchers that were never taken out of
            // service.
            true if has_permits => NextStep::Wait,
            true => NextStep::Propose { operation: Operation::EndRelease, reason: "all have it".to_owned() },
            false if !observed => NextStep::Wait,
            false => NextStep::Propose {
                operation: Operation::AdvanceWave(release.current_wave),
                reason: format!("wave {} was watched", release.current_wave),
            },
        }
    }

    /// Counts the new incarnations of dispatchers with the release's version. The release requests no permit
    /// for those, so each counts as a crash.
    fn count_crashes(&mut self, release: &Release, state: &Snapshot) -> u64 {
        let mut crashes = 0;
        for (key, entry) in &state.entries {
            if let (Key::Member(name), Value::Member(member)) = (key, &entry.value)
                && member.info.version == release.version
            {
                let first = *self.first_incarnations.entry(name.clone()).or_insert(member.incarnation);
                crashes += member.incarnation.saturating_sub(first);
            }
        }
        crashes
    }

    fn incomplete_wave(&mut self, now: Duration, release: &Release) -> NextStep {
        self.complete_since = None;
        let timeout = self.policy.wave_timeout;
        if now.saturating_sub(self.wave_began_at) <= timeout {
            return NextStep::Wait;
        }
        NextStep::halt(&HaltReason::WaveTimeout { wave: release.current_wave, timeout })
    }

    /// Observes a complete wave. Returns whether it has been observed for long enough, or why the release has
    /// to halt.
    fn observe(
        &mut self, now: Duration, release: &Release, state: &Snapshot,
        requests: &BTreeMap<Name, IncarnationRequests>,
    ) -> Result<bool, HaltReason> {
        if self.complete_since.is_none() {
            self.success_rates.restart();
        }
        let complete_since = *self.complete_since.get_or_insert(now);
        self.success_rates.add(&release.version, requests);
        let all_reported = all_reported(state, requests);
        let min_answers = self.policy.min_answers;
        // If the new version has too few answers, more are waited for, unless all dispatchers have reported
        // and the old version has too few as well.
        let needs_more = self.success_rates.needs_more_answers(min_answers, all_reported);
        let factor = if needs_more { MAX_OBSERVATION_TIME_FACTOR } else { 1 };
        let observed = now.saturating_sub(complete_since) >= self.policy.observation_time * factor;
        // A rollback is not compared: it returns to the version that ran before.
        if !release.is_rollback() {
            let max_drop = self.policy.max_success_rate_drop;
            let worse = self.success_rates.halt_reason(min_answers, max_drop, observed);
            let unreported =
                (observed && !all_reported && min_answers > 0).then_some(HaltReason::MissingReports);
            if let Some(reason) = worse.or(unreported) {
                self.complete_since = None;
                return Err(reason);
            }
        }
        Ok(observed)
    }
}

/// Returns whether all present dispatchers have reported their requests.
fn all_reported(state: &Snapshot, requests: &BTreeMap<Name, IncarnationRequests>) -> bool {
    state.entries.iter().all(|(key, entry)| match (key, &entry.value) {
        (Key::Member(name), Value::Member(member)) if member.is_dispatcher() => {
            member.presence != Presence::Present || requests.contains_key(name)
        }
        _ => true,
    })
}
