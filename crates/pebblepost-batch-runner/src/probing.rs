//! What is known of the load of a transcriber, by a probe where no report is fresh, and whether it is there at all.

use crate::candidates::Candidate;
use crate::placement::choice::ProbedLoad;
use crate::placing::{Need, Place};
use crate::shared::Shared;
use pebblepost_transcriber::Target;
use std::time::Duration;
use tokio::time::Instant;

/// A probe that brings no answer for so long has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// A transcriber whose probe failed is not chosen for this long.
const AVOID_AFTER_FAILED_PROBE: Duration = Duration::from_millis(500);

/// A candidate with its load.
pub(crate) struct ProbedCandidate {
    pub(crate) candidate: Candidate,
    pub(crate) probed: ProbedLoad,
    pub(crate) version: Option<u64>,
}

impl Shared {
    /// The load of a candidate, by a probe or as known; `None` if it can't take the request.
    pub(crate) async fn probe(&self, need: &Need<'_>, candidate: Candidate) -> Option<ProbedCandidate> {
        let id = candidate.target.instance.as_str();
        let versions_matter = !need.model.is_empty();
        let needs_report = self.needs_report(&candidate, versions_matter);
        if needs_report && !self.ask_for_load(&candidate.target, &candidate.backend).await {
            return None;
        }
        let load = self.load.borrow();
        let version = load.version(id, need.model);
        if versions_matter && !self.serves_model(need, version, load.is_executing_order(id)) {
            return None;
        }
        let probed = ProbedLoad { slots: candidate.slots, busy: load.busy(id) };
        drop(load);
        Some(ProbedCandidate { candidate, probed, version })
    }

    /// Asks a transcriber for its load; whether it answered.
    async fn ask_for_load(&self, target: &Target, backend: &str) -> bool {
        let id = target.instance.as_str();
        match self.client.load_report(target, PROBE_TIMEOUT).await {
            Ok(Some(report)) => self.load.borrow_mut().record_report(id, &report, Instant::now()),
            // Alive, and tells no load: what this proxy has there is all that is known.
            Ok(None) => self.load.borrow_mut().record_unreported_service(backend, Instant::now()),
            Err(failure) => {
                log::debug!("probe of {id}: {failure:?}");
                let until = Instant::now() + AVOID_AFTER_FAILED_PROBE;
                self.load.borrow_mut().eject(id, until);
                return false;
            }
        }
        true
    }

    /// Whether a transcriber is there: it was heard within this time, or answers now. One that failed a moment ago is not
    /// asked again.
    pub(crate) async fn is_there(&self, place: &Place, within: Duration) -> bool {
        let now = Instant::now();
        if place.last_heard.is_within(within, now) {
            return true;
        }
        if self.load.borrow().is_ejected(&place.target.instance, now) {
            return false;
        }
        self.ask_for_load(&place.target, &place.backend).await
    }

    /// Whether a transcriber that holds this version of the model begins new texts of it now. An order keeps off those
    /// of its own model only, and no order concerns a model that is held at its newest version.
    fn serves_model(&self, need: &Need<'_>, version: Option<u64>, has_order: bool) -> bool {
        let Some(version) = version.filter(|version| *version >= need.min_version) else { return false };
        !has_order || version >= self.feed.borrow().named_version(need.model)
    }

    /// Whether a probe would tell more than is known.
    fn needs_report(&self, candidate: &Candidate, versions_matter: bool) -> bool {
        let now = Instant::now();
        let load = self.load.borrow();
        let is_silent = !versions_matter && load.is_unreported_service(&candidate.backend, now);
        !is_silent && !load.is_fresh(&candidate.target.instance, versions_matter, now)
    }
}
