//! Load of a candidate, by a probe where no report is fresh, and health checks of a transcriber in use.
//!
//! Owns no state; records what it learns in the load table.

use crate::feed_view::FeedView;
use crate::load_table::LoadTable;
use crate::placement::candidates::{Candidate, ProbedCandidate};
use crate::placement::choice::ProbedLoad;
use crate::placement::requirements::Requirements;
use crate::placement::reservation::Reservation;
use pebblepost_transcriber::{Client, Target};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A probe without an answer for this long has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a transcriber whose probe failed is ejected.
const EJECTION_AFTER_FAILED_PROBE: Duration = Duration::from_millis(500);

/// Probes transcribers.
pub(crate) struct Prober {
    pub(crate) client: Client,
    pub(crate) feed: FeedView,
    pub(crate) loads: Rc<RefCell<LoadTable>>,
}

impl Prober {
    /// The load of a candidate, as known or by a probe; `None` if it can't take the request.
    pub(crate) async fn probe(
        &self, requirements: &Requirements<'_>, candidate: Candidate,
    ) -> Option<ProbedCandidate> {
        let id = candidate.target.instance.as_str();
        let versions_matter = requirements.names_model();
        let needs_report = self.needs_report(&candidate, versions_matter);
        if needs_report && !self.request_report(&candidate.target, &candidate.backend).await {
            return None;
        }
        let loads = self.loads.borrow();
        let version = loads.version(id, requirements.model);
        if versions_matter && !self.serves_model(requirements, version, loads.is_executing_order(id)) {
            return None;
        }
        let load = ProbedLoad { slots: candidate.slots, busy: loads.busy(id) };
        drop(loads);
        Some(ProbedCandidate { candidate, load, version })
    }

    /// Health check: whether the transcriber was heard from within this time, or answers a probe now. One that is
    /// ejected is unhealthy without a probe.
    pub(crate) async fn is_healthy(&self, reservation: &Reservation, within: Duration) -> bool {
        let now = Instant::now();
        if reservation.was_heard_within(within, now) {
            return true;
        }
        if self.loads.borrow().is_ejected(&reservation.target.instance, now) {
            return false;
        }
        self.request_report(&reservation.target, &reservation.backend).await
    }

    /// Requests a report and records it; whether the transcriber answered.
    async fn request_report(&self, target: &Target, backend: &str) -> bool {
        let id = target.instance.as_str();
        let result = self.client.load_report(target, PROBE_TIMEOUT).await;
        let now = Instant::now();
        let mut loads = self.loads.borrow_mut();
        match result {
            Ok(Some(report)) => loads.record_report(id, &report, now),
            // Healthy, but without a load: this proxy's own requests there are all that is known.
            Ok(None) => loads.record_unreported_service(backend, now),
            Err(failure) => {
                log::debug!("probe failed instance={id} cause={failure:?}");
                loads.eject(id, now + EJECTION_AFTER_FAILED_PROBE);
                return false;
            }
        }
        true
    }

    /// Whether a transcriber with this version of the model starts new texts of it. An order holds back only texts
    /// of the model that it changes, and a model at its newest named version is changed by no order.
    fn serves_model(
        &self, requirements: &Requirements<'_>, version: Option<u64>, is_executing_order: bool,
    ) -> bool {
        let Some(version) = version.filter(|version| *version >= requirements.min_version) else {
            return false;
        };
        !is_executing_order || version >= self.feed.named_version(requirements.model)
    }

    /// Whether a probe would show more than is known.
    fn needs_report(&self, candidate: &Candidate, versions_matter: bool) -> bool {
        let now = Instant::now();
        let loads = self.loads.borrow();
        let is_unreported = !versions_matter && loads.is_unreported_service(&candidate.backend, now);
        !is_unreported && !loads.is_fresh(&candidate.target.instance, versions_matter, now)
    }
}
