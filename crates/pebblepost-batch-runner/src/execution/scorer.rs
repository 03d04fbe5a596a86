//! Makes one scorer call for a complete text.
//!
//! Limits the calls in flight per service, because scorers are few and have other clients, too. [`super::item`]
//! decides whether another call follows.

use crate::execution::request_headers::insert;
use crate::feed_view::FeedView;
use crate::lease_terms::LeaseTerms;
use crate::metrics::{Metric, Metrics};
use crate::placement::placer::{MAX_PLACEMENT_WAIT, Placer};
use crate::placement::requirements::Requirements;
use crate::placement::reservation::Reservation;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Method, StatusCode};
use pebblepost_messages::batch::Scorer;
use pebblepost_transcriber::{BufferedResponse, Client, ClientError, OutgoingRequest};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Upper limit of the timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of calls in flight at a service, in percent of this proxy's share of its slots.
const CALL_LIMIT_PERCENT_OF_SHARE: u64 = 120;
/// Lower bound of the limit of calls in flight.
const MIN_CALL_LIMIT: u32 = 2;
/// Time for which a transcriber is ejected after it interrupted a call.
const EJECTION_AFTER_INTERRUPTION: Duration = Duration::from_millis(500);

/// Outcome of a scorer call.
pub(crate) enum ScorerOutcome {
    /// The call succeeded. The score is the seal of the complete 2xx response.
    Scored(String),
    /// The call failed (status 500).
    Failed {
        /// Number of attempts that the scorer's route allows.
        max_attempts: u32,
    },
    /// Any other result; the call is to be retried.
    Retry,
}

/// Calls in flight at one service.
#[derive(Default)]
struct ServiceCalls {
    in_flight: Cell<u32>,
    freed: Notify,
}

/// Permit of a call in flight. The call is counted until the permit is dropped.
struct CallPermit {
    calls: Rc<ServiceCalls>,
}

/// A slot at a transcriber for one call, and the permit to use it.
struct CallPlace {
    reservation: Reservation,
    _permit: CallPermit,
}

impl Drop for CallPermit {
    fn drop(&mut self) {
        self.calls.in_flight.set(self.calls.in_flight.get().saturating_sub(1));
        self.calls.freed.notify_one();
    }
}

/// Calls scorers, with a limit of calls in flight per service.
pub(crate) struct ScorerClient {
    client: Client,
    feed: FeedView,
    placer: Rc<Placer>,
    metrics: Rc<Metrics>,
    calls_by_service: RefCell<HashMap<String, Rc<ServiceCalls>>>,
}

impl ScorerClient {
    pub(crate) fn new(
        client: Client, feed: FeedView, placer: Rc<Placer>, metrics: Rc<Metrics>,
    ) -> ScorerClient {
        ScorerClient { client, feed, placer, metrics, calls_by_service: RefCell::default() }
    }

    /// Calls the scorer once. Nothing is sent unless `is_lease_valid` returns true immediately before sending, and
    /// nothing once `gives_up` has completed.
    pub(crate) async fn call(
        &self, scorer: &Scorer, terms: &LeaseTerms, is_lease_valid: impl Fn() -> bool,
        gives_up: impl Future<Output = ()>,
    ) -> ScorerOutcome {
        let Some(configuration) = self.feed.configuration() else { return ScorerOutcome::Retry };
        let Some(route) = configuration.route(&scorer.hostname, &scorer.path) else {
            return ScorerOutcome::Retry;
        };
        let requirements = Requirements::for_scorer_call(terms, scorer);
        let service = route.backends.first().map_or("", |(name, _)| name.as_str());
        let placed = tokio::select! {
            biased;
            placed = self.acquire_place(service, &requirements) => placed,
            () = gives_up => None,
        };
        let Some(CallPlace { reservation, .. }) = &placed else { return ScorerOutcome::Retry };
        if !is_lease_valid() || !self.placer.is_still_allowed(reservation, &requirements) {
            return ScorerOutcome::Retry;
        }
        let request = build_request(scorer, route.timeout.min(CALL_TIMEOUT));
        self.metrics.increment(Metric::ScorerCalls);
        match self.client.send(&reservation.target, request).await {
            Ok(response) => self.handle_response(reservation, &response, route.max_attempts),
            Err(error) => self.handle_error(reservation, scorer, error),
        }
    }

    /// Waits until a call to a service is allowed, and reserves a slot for it.
    async fn acquire_place(&self, service: &str, requirements: &Requirements<'_>) -> Option<CallPlace> {
        let permit = self.acquire_permit(service).await;
        let give_up_at = Instant::now() + MAX_PLACEMENT_WAIT;
        let reservations = self.placer.place(requirements, 1, Some(give_up_at)).await;
        let reservation = reservations.ok()?.pop()?;
        Some(CallPlace { reservation, _permit: permit })
    }

    fn handle_response(
        &self, reservation: &Reservation, response: &BufferedResponse, max_attempts: u32,
    ) -> ScorerOutcome {
        reservation.record_load(&response.head);
        if response.head.not_executed {
            self.metrics.increment(Metric::ScorerCallsRejected);
        }
        let outcome = outcome_of(response, max_attempts);
        if matches!(outcome, ScorerOutcome::Failed { .. }) {
            self.metrics.increment(Metric::ScorerCallsFailed);
        }
        outcome
    }

    fn handle_error(&self, reservation: &Reservation, scorer: &Scorer, error: ClientError) -> ScorerOutcome {
        self.metrics.increment(Metric::ScorerCallsInterrupted);
        let instance = &reservation.target.instance;
        log::debug!("scorer call failed request={} instance={instance} cause={error:?}", scorer.id);
        if error != ClientError::TimedOut {
            reservation.eject(EJECTION_AFTER_INTERRUPTION);
        }
        ScorerOutcome::Retry
    }

    /// Waits until another call to a service is allowed. Waiting calls are admitted in the order in which they
    /// arrived.
    async fn acquire_permit(&self, service: &str) -> CallPermit {
        let calls = self.calls_by_service.borrow_mut().entry(service.to_owned()).or_default().clone();
        while calls.in_flight.get() >= self.call_limit(service) {
            calls.freed.notified().await;
        }
        calls.in_flight.set(calls.in_flight.get() + 1);
        CallPermit { calls }
    }

    fn call_limit(&self, service: &str) -> u32 {
        self.feed.fair_share_of_slots(CALL_LIMIT_PERCENT_OF_SHARE, |name| name == service).max(MIN_CALL_LIMIT)
    }
}

fn outcome_of(response: &BufferedResponse, max_attempts: u32) -> ScorerOutcome {
    let head = &response.head;
    if head.status == StatusCode::INTERNAL_SERVER_ERROR && !head.not_executed {
        return ScorerOutcome::Failed { max_attempts };
    }
    let seal = head.headers.get("response-seal").and_then(|seal| seal.to_str().ok());
    match seal {
        Some(seal) if head.status.is_success() && !seal.is_empty() => ScorerOutcome::Scored(seal.to_owned()),
        _ => ScorerOutcome::Retry,
    }
}

fn build_request(scorer: &Scorer, deadline: Duration) -> OutgoingRequest {
    let mut headers = HeaderMap::with_capacity(6);
    insert(&mut headers, HOST.as_str(), &scorer.hostname);
    insert(&mut headers, "request-id", &scorer.id);
    OutgoingRequest {
        method: Method::POST,
        path: scorer.path.clone(),
        headers,
        body: Bytes::copy_from_slice(&scorer.body),
        request_id: scorer.id.clone(),
        timeout: deadline,
    }
}
