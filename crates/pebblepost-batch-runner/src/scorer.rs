//! The call that scores a text.

use crate::attempt::insert;
use crate::lease_terms::LeaseTerms;
use crate::metrics::Metric;
use crate::placement::requirements::Requirements;
use crate::shared::Shared;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Method, StatusCode};
use pebblepost_messages::batch::Scorer;
use pebblepost_transcriber::{BufferedResponse, ClientError, OutgoingRequest};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Pauses between calls that brought no answer of use.
pub(crate) const FIRST_PAUSE: Duration = Duration::from_millis(20);
pub(crate) const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Longest time of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Calls under way, in parts in a hundred of our share of a service's slots.
const SHARE_PERCENT: u64 = 120;
/// Calls under way at least.
const LEAST_CALLS: u32 = 2;
/// A transcriber that broke a call off is not chosen for this long.
const AVOID_AFTER_BREAK: Duration = Duration::from_millis(500);

/// How a call ended.
pub(crate) enum ScoreEnd {
    /// The stamp of a whole 2xx.
    Score(String),
    /// Status 500, on a route that allows so many attempts.
    Failed {
        /// Most attempts of the call's route.
        max_attempts: u32,
    },
    /// Anything else: to be called again.
    Retry,
}

/// Calls under way at one service.
#[derive(Default)]
struct ServiceCalls {
    active: Cell<u32>,
    freed: Notify,
}

/// Bounds the calls under way, by service: scorers are small, and others use them too.
#[derive(Default)]
pub(crate) struct ScorerLimits {
    services: RefCell<HashMap<String, Rc<ServiceCalls>>>,
}

/// A call under way.
struct CallPermit {
    calls: Rc<ServiceCalls>,
}

impl Drop for CallPermit {
    fn drop(&mut self) {
        self.calls.active.set(self.calls.active.get().saturating_sub(1));
        self.calls.freed.notify_one();
    }
}

impl ScorerLimits {
    fn calls(&self, service: &str) -> Rc<ServiceCalls> {
        self.services.borrow_mut().entry(service.to_owned()).or_default().clone()
    }

    /// Waits for a call to be allowed at a service. In the order of asking.
    async fn acquire(&self, shared: &Shared, service: &str) -> CallPermit {
        let calls = self.calls(service);
        while calls.active.get() >= most_calls(shared, service) {
            calls.freed.notified().await;
        }
        calls.active.set(calls.active.get() + 1);
        CallPermit { calls }
    }
}

/// Our share of the slots of a service.
fn most_calls(shared: &Shared, service: &str) -> u32 {
    shared.feed.share_of_slots(SHARE_PERCENT, |backend| backend == service).max(LEAST_CALLS)
}

/// Calls the scorer once. Nothing is sent unless `is_valid` says so just before.
pub(crate) async fn call(
    shared: &Rc<Shared>, scorer: &Scorer, terms: &LeaseTerms, is_valid: impl Fn() -> bool,
) -> ScoreEnd {
    let Some(configuration) = shared.feed.configuration() else { return ScoreEnd::Retry };
    let Some(route) = configuration.route(&scorer.hostname, &scorer.path) else { return ScoreEnd::Retry };
    let need = Requirements::of_scorer(terms, scorer);
    let service = route.backends.first().map_or("", |(name, _)| name.as_str());
    let _permit = shared.scorer_limits.acquire(shared, service).await;
    let Ok(places) = shared.placer.place(&need, 1).await else { return ScoreEnd::Retry };
    let Some(place) = places.first() else { return ScoreEnd::Retry };
    if !is_valid() || !shared.placer.is_still_allowed(place, &need) {
        return ScoreEnd::Retry;
    }
    let outgoing = request(scorer, route.timeout.min(CALL_TIMEOUT));
    shared.metrics.increment(Metric::ScorerCalls);
    match shared.client.send(&place.target, outgoing).await {
        Ok(answer) => {
            place.record_load(&answer.head);
            if answer.head.not_executed {
                shared.metrics.increment(Metric::ScorerCallsRejected);
            }
            let end = end_of_answer(&answer, route.max_attempts);
            if matches!(end, ScoreEnd::Failed { .. }) {
                shared.metrics.increment(Metric::ScorerCallsFailed);
            }
            end
        }
        Err(failure) => {
            shared.metrics.increment(Metric::ScorerCallsInterrupted);
            log::debug!("scorer call {} at {}: {failure:?}", scorer.id, place.target.instance);
            if failure != ClientError::TimedOut {
                place.eject(AVOID_AFTER_BREAK);
            }
            ScoreEnd::Retry
        }
    }
}

fn end_of_answer(answer: &BufferedResponse, max_attempts: u32) -> ScoreEnd {
    let head = &answer.head;
    if head.status == StatusCode::INTERNAL_SERVER_ERROR && !head.not_executed {
        return ScoreEnd::Failed { max_attempts };
    }
    let seal = head.headers.get("response-seal").and_then(|seal| seal.to_str().ok());
    match seal {
        Some(seal) if head.status.is_success() && !seal.is_empty() => ScoreEnd::Score(seal.to_owned()),
        _ => ScoreEnd::Retry,
    }
}

fn request(scorer: &Scorer, deadline: Duration) -> OutgoingRequest {
    let mut headers = HeaderMap::with_capacity(6);
    insert(&mut headers, HOST.as_str(), &scorer.hostname);
    insert(&mut headers, "request-id", &scorer.id);
    OutgoingRequest {
        method: Method::POST,
        path: scorer.path.clone(),
        headers,
        body: Bytes::copy_from_slice(&scorer.body),
        request_id: scorer.id.clone(),
        deadline,
    }
}
