//! What drives a release: it looks at the state now and then, and proposes the next wave, the end, or a halt.
//!
//! It never decides who goes (see [`crate::availability`]): a driver that is dead, late or duplicated delays
//! a release and breaks nothing. Time is monotonic and comes as an argument.

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

/// While the new version has too few answers a wave is observed for at most this many times the observation
/// time.
const MAX_OBSERVATION_FACTOR: u32 = 3;

/// When the driver proposes what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleasePolicy {
    /// How long a complete wave is observed before the next one begins.
    pub observation_time: Duration,
    /// A wave that is not complete within this time halts the release.
    pub wave_timeout: Duration,
    /// This many new incarnations without a permit, of dispatchers with the new version, halt the release.
    pub max_crashes: u64,
    /// How much lower the success rate of the new version may be than that of the old one, during an
    /// observation.
    pub max_success_rate_drop: f64,
    /// Success rates of fewer answers than this are not compared. 0: none are.
    pub min_answers: u64,
}

/// What the driver proposes.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// Nothing now.
    Wait,
    /// A change of the state.
    Propose {
        /// The operation.
        operation: Operation,
        /// The reason, for the history.
        reason: String,
    },
    /// The release is halted: an operator resumes it, or rolls it back.
    Halted,
    /// There is no release.
    Finished,
}

impl NextStep {
    fn halt(reason: &HaltReason) -> Self {
        let operation = Operation::Halt(SubjectKind::Dispatcher);
        Self::Propose { operation, reason: reason.to_string() }
    }
}

/// A release's driver, and what it has observed of the present wave.
#[derive(Clone, Debug)]
pub struct ReleaseDriver {
    policy: ReleasePolicy,
    wave: Option<u32>,
    wave_began_at: Duration,
    /// Since when the wave has been complete.
    complete_since: Option<Duration>,
    /// Crashes seen so far.
    crashes: u64,
    /// The incarnations of dispatchers with the new version when each was first seen with it.
    first_incarnations: BTreeMap<Name, u64>,
    success_rates: SuccessRates,
}

impl ReleaseDriver {
    /// A driver that has observed nothing.
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

    /// The next step, by the state and the requests of the dispatchers as they are now.
    pub fn next_step(
        &mut self, now: Duration, state: &Snapshot, requests: &BTreeMap<Name, IncarnationRequests>,
    ) -> NextStep {
        let availability = state.availability(SubjectKind::Dispatcher);
        let Some(release) = availability.release else { return NextStep::Finished };
        if self.wave != Some(release.current_wave) || availability.halted {
            // No time is counted during a halt.
            (self.wave, self.wave_began_at, self.complete_since) = (Some(release.current_wave), now, None);
        }
        let crashes = self.count_crashes(release, state);
        if std::mem::replace(&mut self.crashes, crashes) != crashes {
            // A dispatcher may return a moment after its crash: the observation begins anew.
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
            // In a rollback dispatchers may still wait that had never gone.
            true if has_permits => NextStep::Wait,
            true => NextStep::Propose { operation: Operation::EndRelease, reason: "all have it".to_owned() },
            false if !observed => NextStep::Wait,
            false => NextStep::Propose {
                operation: Operation::AdvanceWave(release.current_wave),
                reason: format!("wave {} was watched", release.current_wave),
            },
        }
    }

    /// Counts new incarnations, without a permit, of dispatchers with the release's version.
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

    /// Observes a complete wave: whether that has lasted long enough, or why the release has to halt.
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
        // Too few answers of the new version are waited for, unless all dispatchers have reported and there
        // are few requests.
        let needs_more = self.success_rates.needs_more_answers(min_answers, all_reported);
        let factor = if needs_more { MAX_OBSERVATION_FACTOR } else { 1 };
        let observed = now.saturating_sub(complete_since) >= self.policy.observation_time * factor;
        // In a rollback nothing is compared: what is left is what was there before.
        if !release.is_rollback() {
            let max_drop = self.policy.max_success_rate_drop;
            let worse = self.success_rates.why_new_is_worse(min_answers, max_drop, observed);
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

/// Whether all present dispatchers have reported their requests.
fn all_reported(state: &Snapshot, requests: &BTreeMap<Name, IncarnationRequests>) -> bool {
    state.entries.iter().all(|(key, entry)| match (key, &entry.value) {
        (Key::Member(name), Value::Member(member)) if member.is_dispatcher() => {
            member.presence != Presence::Present || requests.contains_key(name)
        }
        _ => true,
    })
}
