//! The success rates of a release's old and new version, while a wave is observed.

use super::halt::HaltReason;
use crate::heartbeat::RequestCounts;
use crate::leader::IncarnationRequests;
use crate::name::{IncarnationId, Name, Text};
use std::collections::BTreeMap;

/// Requests counted since the observation began, at dispatchers with the release's version and at the others.
#[derive(Clone, Debug, Default)]
pub(super) struct SuccessRates {
    /// The last counts of each member with the incarnation that they belong to. A member that does not report
    /// for a while, as leaders change, loses nothing.
    last_counts: BTreeMap<Name, (IncarnationId, RequestCounts)>,
    new: RequestCounts,
    old: RequestCounts,
    /// The success rate of the old version when it last had enough answers, kept over observations.
    old_rate: Option<f64>,
}

impl SuccessRates {
    /// Begins a new observation.
    pub(super) fn restart(&mut self) {
        *self = Self { old_rate: self.old_rate, ..Self::default() };
    }

    /// Adds what was counted since the last call.
    pub(super) fn add(&mut self, version: &Text, requests: &BTreeMap<Name, IncarnationRequests>) {
        for (name, reported) in requests {
            let counts = reported.requests;
            let last = self.last_counts.insert(name.clone(), (reported.incarnation_id, counts));
            let before = match last {
                Some((incarnation_id, before)) if incarnation_id == reported.incarnation_id => before,
                // Its first report in this observation: what it counted before is not part of that.
                _ => counts,
            };
            let sum = if reported.version == *version { &mut self.new } else { &mut self.old };
            sum.answered += counts.answered.saturating_sub(before.answered);
            sum.succeeded += counts.succeeded.saturating_sub(before.succeeded);
        }
    }

    /// Whether more answers of the new version are expected before the rates can be compared.
    pub(super) fn needs_more_answers(&self, min_answers: u64, all_reported: bool) -> bool {
        let has_enough = |counts: RequestCounts| counts.answered >= min_answers;
        !has_enough(self.new) && (has_enough(self.old) || !all_reported)
    }

    /// Why the new version must not go on, by its success rate beside that of the old one.
    pub(super) fn why_new_is_worse(
        &mut self, min_answers: u64, max_drop: f64, observed: bool,
    ) -> Option<HaltReason> {
        if min_answers == 0 {
            return None;
        }
        let (new, old) = (self.new, self.old);
        let rate = |counts: RequestCounts| {
            (counts.answered >= min_answers).then(|| counts.succeeded as f64 / counts.answered as f64)
        };
        self.old_rate = rate(old).or(self.old_rate);
        match (rate(new), self.old_rate) {
            (Some(new), Some(old)) if new < old - max_drop => Some(HaltReason::LowerSuccessRate { new, old }),
            (None, _) if observed && new.answered == 0 && rate(old).is_some() => {
                Some(HaltReason::NoAnswers { old_answers: old.answered })
            }
            _ => None,
        }
    }
}
