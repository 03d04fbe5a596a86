//! Determines the load of a candidate, by a probe if no report is fresh, and health-checks transcribers in use.
//!
//! Has no state of its own; results are recorded in the load table.

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

/// A probe that is not answered within this time has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a transcriber is ejected after a failed probe.
const EJECTION_AFTER_FAILED_PROBE: Duration = Duration::from_millis(500);

/// Sends probes and health checks to transcribers.
pub(crate) struct Prober {
    pub(crate) client: Client,
    pub(crate) feed: FeedView,
    pub(crate) loads: Rc<RefCell<LoadTable>>,
}

impl Prober {
    /// Returns the load of a candidate, from a fresh report or by a probe, or `None` if the candidate cannot take
    /// the request.
    pub(crate) async fn probe(
        &self, requirements: &Requirements<'_>, candidate: Candidate,
    ) -> Option<ProbedCandidate> {
        let id = candidate.target.instance.as_str();
        let versions_matter = requirements.requires_model();
        let must_probe = self.must_probe(&candidate, versions_matter);
        if must_probe && !self.request_report(&candidate.target, &candidate.backend).await {
            return None;
        }
        let loads = self.loads.borrow();
        let version = loads.version(id, requirements.model);
        if versions_matter && !self.serves_model(requirements, version, loads.is_executing_load_order(id)) {
            return None;
        }
        let load = ProbedLoad { slots: candidate.slots, outstanding: loads.outstanding_requests(id) };
        drop(loads);
        Some(ProbedCandidate { candidate, load, version })
    }

    /// Health check: returns whether the transcriber sent anything within `within`, or else answers a probe now. An
    /// ejected transcriber counts as unhealthy and is not probed.
    pub(crate) async fn is_healthy(&self, reservation: &Reservation, within: Duration) -> bool {
        let now = Instant::now();
        if reservation.was_active_within(within, now) {
            return true;
        }
        if self.loads.borrow().is_ejected(&reservation.target.instance, now) {
            return false;
        }
        self.request_report(&reservation.target, &reservation.backend).await
    }

    /// Requests a load report and records it. Returns whether the transcriber answered; one that fails to answer is
    /// ejected.
    async fn request_report(&self, target: &Target, backend: &str) -> bool {
        let id = target.instance.as_str();
        let result = self.client.request_load_report(target, PROBE_TIMEOUT).await;
        let now = Instant::now();
        let mut loads = self.loads.borrow_mut();
        match result {
            Ok(Some(report)) => loads.record_report(id, &report, now),
            // The transcriber is healthy but reports no load, so only this proxy's own requests there are known.
            Ok(None) => loads.record_service_without_reports(backend, now),
            Err(failure) => {
                log::debug!("probe failed instance={id} cause={failure:?}");
                loads.eject(id, now + EJECTION_AFTER_FAILED_PROBE);
                return false;
            }
        }
        true
    }

    /// Returns whether a transcriber that reports `version` of the model may start new texts of it.
    ///
    /// A load order in progress holds back only texts of the model that it changes. A model that is already at its
    /// newest named version is not changed by any load order.
    fn serves_model(
        &self, requirements: &Requirements<'_>, version: Option<u64>, is_executing_load_order: bool,
    ) -> bool {
        let Some(version) = version.filter(|version| *version >= requirements.min_version) else {
            return false;
        };
        !is_executing_load_order || version >= self.feed.named_version(requirements.model)
    }

    /// Returns whether the known load is too old to be used without a probe.
    fn must_probe(&self, candidate: &Candidate, versions_matter: bool) -> bool {
        let now = Instant::now();
        let loads = self.loads.borrow();
        let is_unreported = !versions_matter && loads.is_service_without_reports(&candidate.backend, now);
        !is_unreported && !loads.is_fresh(&candidate.target.instance, versions_matter, now)
    }
}
