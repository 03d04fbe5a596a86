//! Places groups of items and scorer calls: rounds of random probes, with a backoff while all transcribers are full.

use crate::feed_view::FeedView;
use crate::metrics::{Metric, Metrics};
use crate::placement::candidates::{Candidate, CandidateSelector, NoRoute, ProbedCandidate};
use crate::placement::choice::{MAX_PROBES, ProbedLoad, choose};
use crate::placement::probing::Prober;
use crate::placement::requirements::{RequestKind, Requirements};
use crate::placement::reservation::Reservation;
use crate::random::Random;
use crate::shutdown::ShutdownFlag;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep};

/// Time for which an item waits for a place at a transcriber. After that it is returned to its store: it holds a place
/// in this proxy that other items may need.
pub(crate) const MAX_PLACEMENT_WAIT: Duration = Duration::from_secs(1);
/// Bounds of the random backoff after a round in which no transcriber had capacity.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(100);

/// Reason why a request was not placed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// No route in the current configuration matches the request.
    #[error(transparent)]
    NoRoute(#[from] NoRoute),
    /// No transcriber had a place for the request in time: none is ready, none has an allowed version, or all are
    /// full.
    #[error("no transcriber had a place in time")]
    NoPlace,
    /// The proxy is shutting down.
    #[error("the proxy is shutting down")]
    ShuttingDown,
    /// The expiry time of the item has passed.
    #[error("the item has expired")]
    Expired,
}

/// Places requests on transcribers.
pub(crate) struct Placer {
    pub(crate) feed: FeedView,
    pub(crate) selector: CandidateSelector,
    pub(crate) prober: Rc<Prober>,
    pub(crate) random: Rc<Random>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) shutdown: Rc<ShutdownFlag>,
}

impl Placer {
    /// Reserves slots for up to `items` items, at least one, all at one transcriber. Waits until a transcriber has
    /// capacity, at most until `give_up_at`, if it is given. At least one round of probes is made.
    ///
    /// # Errors
    /// No route matches the request, no transcriber had a place in time, the proxy is shutting down (only for
    /// [`RequestKind::Text`]), or the item has expired.
    pub(crate) async fn place(
        &self, requirements: &Requirements<'_>, items: u32, give_up_at: Option<Instant>,
    ) -> Result<Vec<Reservation>, PlacementError> {
        let mut full_rounds = 0;
        loop {
            if Instant::now() >= requirements.expires_at {
                return Err(PlacementError::Expired);
            }
            if requirements.kind == RequestKind::Text && self.shutdown.is_set() {
                return Err(PlacementError::ShuttingDown);
            }
            let candidates = self.selector.select(requirements, full_rounds)?;
            if candidates.is_empty() {
                self.metrics.increment(Metric::NoCandidateBackoffs);
            } else {
                let reservations = self.probe_and_reserve(requirements, candidates, items).await;
                if !reservations.is_empty() {
                    return Ok(reservations);
                }
                self.metrics.increment(Metric::FullBackoffs);
                full_rounds += 1;
            }
            if give_up_at.is_some_and(|give_up_at| Instant::now() >= give_up_at) {
                return Err(PlacementError::NoPlace);
            }
            sleep(self.random.duration_between(MIN_BACKOFF, MAX_BACKOFF)).await;
        }
    }

    /// Returns whether a request may still be sent to its reserved transcriber: the route still names the service,
    /// and the transcriber is still ready.
    pub(crate) fn is_still_allowed(
        &self, reservation: &Reservation, requirements: &Requirements<'_>,
    ) -> bool {
        let Some(configuration) = self.feed.configuration() else { return false };
        let route = configuration.route(requirements.hostname, requirements.path);
        let names_service = route.is_some_and(|route| {
            route.backends.iter().any(|(name, weight)| *name == reservation.backend && *weight > 0)
        });
        names_service && self.feed.is_ready(&reservation.target.instance)
    }

    /// Probes candidates until one accepts all items, at most [`MAX_PROBES`], and reserves slots at the chosen one.
    /// Returns an empty list if all probed transcribers are full.
    async fn probe_and_reserve(
        &self, requirements: &Requirements<'_>, candidates: Vec<Candidate>, items: u32,
    ) -> Vec<Reservation> {
        let mut probed: Vec<ProbedCandidate> = Vec::with_capacity(MAX_PROBES);
        for candidate in candidates {
            if probed.len() >= MAX_PROBES {
                break;
            }
            let Some(found) = self.prober.probe(requirements, candidate).await else { continue };
            let accepts = found.load.accepts(items);
            probed.push(found);
            if accepts {
                break;
            }
        }
        let loads: Vec<ProbedLoad> = probed.iter().map(|found| found.load).collect();
        match choose(&loads, items, requirements.queue_limit(Instant::now()), &self.random) {
            Some(choice) => Reservation::reserve(&self.prober.loads, &probed[choice.index], choice.items),
            None => Vec::new(),
        }
    }
}
