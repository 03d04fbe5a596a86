//! The success rates of the old and the new version of a release while a wave is observed.

use super::halt::HaltReason;
use crate::heartbeat::RequestCounts;
use crate::leader::IncarnationRequests;
use crate::name::{IncarnationId, Name, Text};
use std::collections::BTreeMap;

/// The requests counted since the observation began, at dispatchers with the release's version and at the
/// others.
#[derive(Clone, Debug, Default)]
pub(super) struct SuccessRates {
    /// Last counts of each member with the incarnation to which they belong. They are kept while a member
    /// does not report, for instance during a change of leader, so no requests are lost.
    last_counts: BTreeMap<Name, (IncarnationId, RequestCounts)>,
    new: RequestCounts,
    old: RequestCounts,
    /// Success rate of the old version when it last had enough answers. It is kept across observations.
    old_success_rate: Option<f64>,
}

impl SuccessRates {
    /// Begins a new observation and keeps only the last success rate of the old version.
    pub(super) fn restart(&mut self) {
        *self = Self { old_success_rate: self.old_success_rate, ..Self::default() };
    }

    /// Adds the requests counted since the last call.
    pub(super) fn add(&mut self, version: &Text, requests: &BTreeMap<Name, IncarnationRequests>) {
        for (name, reported) in requests {
            let counts = reported.requests;
            let last = self.last_counts.insert(name.clone(), (reported.incarnation_id, counts));
            let before = match last {
                Some((incarnation_id, before)) if incarnation_id == reported.incarnation_id => before,
                // In the first report of an incarnation, the requests counted before it are not part of the
                // observation.
                _ => counts,
            };
            let sum = if reported.version == *version { &mut self.new } else { &mut self.old };
            sum.answered += counts.answered.saturating_sub(before.answered);
            sum.succeeded += counts.succeeded.saturating_sub(before.succeeded);
        }
    }

    /// Returns whether to wait for more answers of the new version before the rates are compared.
    pub(super) fn needs_more_answers(&self, min_answers: u64, all_reported: bool) -> bool {
        let has_enough = |counts: RequestCounts| counts.answered >= min_answers;
        !has_enough(self.new) && (has_enough(self.old) || !all_reported)
    }

    /// Returns the reason to halt if the new version has a lower success rate than the old one by more than
    /// `max_drop`, or has answered nothing by the end of the observation. Rates of fewer than `min_answers`
    /// answers are not compared; 0 disables the comparison.
    pub(super) fn halt_reason(
        &mut self, min_answers: u64, max_drop: f64, observed: bool,
    ) -> Option<HaltReason> {
        if min_answers == 0 {
            return None;
        }
        let (new, old) = (self.new, self.old);
        let rate = |counts: RequestCounts| {
            (counts.answered >= min_answers).then(|| counts.succeeded as f64 / counts.answered as f64)
        };
        self.old_success_rate = rate(old).or(self.old_success_rate);
        match (rate(new), self.old_success_rate) {
            (Some(new), Some(old)) if new < old - max_drop => Some(HaltReason::LowerSuccessRate { new, old }),
            (None, _) if observed && new.answered == 0 && rate(old).is_some() => {
                Some(HaltReason::NoAnswers { old_answers: old.answered })
            }
            _ => None,
        }
    }
}
