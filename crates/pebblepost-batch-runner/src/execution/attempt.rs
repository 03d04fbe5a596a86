//! Makes one attempt at the text of an item, at one transcriber.
//!
//! An attempt sends the request, appends the events of the response to the item's text, and health-checks the
//! transcriber while it is silent. [`super::item`] decides whether another attempt follows.

use crate::execution::priority::{DEFAULT_PRIORITY, priority};
use crate::execution::request_headers::insert;
use crate::item_progress::SharedProgress;
use crate::lease_terms::LeaseTerms;
use crate::placement::probing::Prober;
use crate::placement::reservation::Reservation;
use crate::text::AppendError;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use pebblepost_messages::batch::Item;
use pebblepost_transcriber::{
    BufferedResponse, Client, ClientError, EventStream, OutgoingRequest, ResponseHead, StreamResponse,
};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A transcriber that has sent nothing for this long is health-checked.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Bounds of the `Deadline-Ms` header.
const MIN_REQUEST_DEADLINE: Duration = Duration::from_secs(1);
const MAX_REQUEST_DEADLINE: Duration = Duration::from_secs(20);
/// An attempt without a response head within this time is retried at another transcriber: the request may be queued
/// or lost.
const HEAD_TIMEOUT: Duration = Duration::from_millis(3000);
/// An attempt without an event for this long is resumed at another transcriber.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// The text is complete.
    Complete,
    /// The attempt was interrupted or timed out. The events received so far are kept.
    Interrupted,
    /// The transcriber holds another version than it reported (status 421).
    VersionMismatch,
    /// The transcriber did not execute the request, because it was full or for another reason.
    Rejected,
    /// The transcriber could not be reached, so nothing was sent.
    NotSent,
    /// An event does not follow the text. The event is dropped and the text is unchanged.
    UnexpectedEvent,
    /// An event was generated under a version that is not allowed. The text is discarded and generated from the
    /// start.
    VersionNotAllowed,
    /// The text is too long to be stored. It is discarded and generated from the start.
    TextTooLong,
    /// The attempt failed (status 500).
    Failed,
    /// The item can never be executed (status 422).
    Unprocessable,
    /// Any other response.
    Unknown,
}

/// Makes attempts at texts.
pub(crate) struct AttemptRunner {
    pub(crate) client: Client,
    pub(crate) prober: Rc<Prober>,
}

impl AttemptRunner {
    /// Makes one attempt, which resumes the text so far if the transcriber's version allows it.
    pub(crate) async fn run(
        &self, terms: &LeaseTerms, item: &Item, reservation: &Reservation, progress: &SharedProgress,
    ) -> AttemptOutcome {
        if !progress.borrow().text.can_resume_under(reservation.version, terms.versions) {
            progress.borrow_mut().text.clear();
        }
        let last_event = progress.borrow().text.last_event();
        let request = build_request(terms, item, reservation.version, last_event);
        let opening = self.client.open_stream(&reservation.target, request);
        match self.run_with_health_checks(reservation, HEAD_TIMEOUT, opening).await {
            None => AttemptOutcome::Interrupted,
            Some(Err(ClientError::NotSent)) => AttemptOutcome::NotSent,
            Some(Err(_)) => AttemptOutcome::Interrupted,
            Some(Ok(StreamResponse::Buffered(response))) => {
                reservation.record_load(&response.head);
                outcome_of(&response)
            }
            Some(Ok(StreamResponse::Stream(head, stream))) => {
                reservation.record_load(&head);
                reservation.notify_started();
                let version = reported_version(&head).or(reservation.version);
                progress.borrow_mut().text.start_attempt(version);
                self.read_events(reservation, stream, terms, progress).await
            }
        }
    }

    /// Appends the events of the stream to the text until the stream ends.
    async fn read_events(
        &self, reservation: &Reservation, mut stream: EventStream, terms: &LeaseTerms,
        progress: &SharedProgress,
    ) -> AttemptOutcome {
        loop {
            let next_event = stream.next(EVENT_TIMEOUT);
            let Some(next) = self.run_with_health_checks(reservation, EVENT_TIMEOUT, next_event).await else {
                return AttemptOutcome::Interrupted;
            };
            match next {
                Ok(Some(event)) => match progress.borrow_mut().text.append(&event, terms.versions) {
                    Ok(()) => {}
                    Err(AppendError::UnexpectedEventId) => return AttemptOutcome::UnexpectedEvent,
                    Err(AppendError::VersionTooOld | AppendError::MixedVersions) => {
                        return AttemptOutcome::VersionNotAllowed;
                    }
                    Err(AppendError::TooLong) => return AttemptOutcome::TextTooLong,
                },
                Ok(None) if progress.borrow().text.last_event() > 0 => {
                    progress.borrow_mut().is_complete = true;
                    return AttemptOutcome::Complete;
                }
                Ok(None) => return AttemptOutcome::Unknown,
                Err(_) => return AttemptOutcome::Interrupted,
            }
        }
    }

    /// Waits for `operation`, which completes when the transcriber sends something.
    ///
    /// While the transcriber is silent it is health-checked every [`HEALTH_CHECK_INTERVAL`]. Returns `None` after
    /// `limit`, or as soon as a health check fails.
    async fn run_with_health_checks<T>(
        &self, reservation: &Reservation, limit: Duration, operation: impl Future<Output = T>,
    ) -> Option<T> {
        let deadline = Instant::now() + limit;
        let mut operation = pin!(operation);
        loop {
            let next_check = deadline.min(Instant::now() + HEALTH_CHECK_INTERVAL);
            if let Ok(output) = timeout_at(next_check, operation.as_mut()).await {
                reservation.record_activity();
                return Some(output);
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::select! {
                biased;
                output = operation.as_mut() => return Some(output),
                is_healthy = self.prober.is_healthy(reservation, HEALTH_CHECK_INTERVAL) => {
                    if !is_healthy {
                        return None;
                    }
                }
            }
        }
    }
}

fn outcome_of(response: &BufferedResponse) -> AttemptOutcome {
    match response.head.status {
        StatusCode::MISDIRECTED_REQUEST => AttemptOutcome::VersionMismatch,
        _ if response.head.not_executed => AttemptOutcome::Rejected,
        StatusCode::INTERNAL_SERVER_ERROR => AttemptOutcome::Failed,
        StatusCode::UNPROCESSABLE_ENTITY => AttemptOutcome::Unprocessable,
        _ => AttemptOutcome::Unknown,
    }
}

fn reported_version(head: &ResponseHead) -> Option<u64> {
    head.headers.get("weight-versions")?.to_str().ok()?.trim().parse().ok()
}

fn build_request(terms: &LeaseTerms, item: &Item, version: Option<u64>, last_event: u64) -> OutgoingRequest {
    let mut headers = HeaderMap::with_capacity(item.headers.len() + 8);
    for (name, value) in &item.headers {
        insert(&mut headers, name, value);
    }
    pebblepost_transcriber::remove_connection_headers(&mut headers);
    insert(&mut headers, HOST.as_str(), &terms.job.hostname);
    insert(&mut headers, "request-id", &item.id);
    let until_due = terms.due_at.saturating_duration_since(Instant::now());
    let priority = priority(terms.job.priority, until_due);
    if priority != DEFAULT_PRIORITY {
        headers.insert("priority", HeaderValue::from(priority));
    }
    if let Some(version) = version {
        headers.insert("expect-version", HeaderValue::from(version));
    }
    if last_event > 0 {
        headers.insert("last-event-id", HeaderValue::from(last_event));
    }
    let remaining = terms.expires_at.saturating_duration_since(Instant::now());
    OutgoingRequest {
        method: Method::POST,
        path: item.path.clone(),
        headers,
        body: Bytes::copy_from_slice(&item.body),
        request_id: item.id.clone(),
        timeout: remaining.clamp(MIN_REQUEST_DEADLINE, MAX_REQUEST_DEADLINE),
    }
}
