//! One attempt at the text of an item, at one transcriber.
//!
//! Sends the request, reads its events into the item's text and watches that the transcriber stays healthy. Whether
//! there is another attempt is decided in [`super::item`].

use crate::execution::priority::{DEFAULT_PRIORITY, priority};
use crate::execution::request_headers::insert;
use crate::item_progress::SharedProgress;
use crate::lease_terms::LeaseTerms;
use crate::placement::probing::Prober;
use crate::placement::reservation::Reservation;
use crate::text::TextError;
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

/// A transcriber that sent nothing for this long is health-checked.
const HEALTH_CHECK_AFTER: Duration = Duration::from_millis(500);
/// Bounds of `Deadline-Ms`.
const MIN_DEADLINE: Duration = Duration::from_secs(1);
const MAX_DEADLINE: Duration = Duration::from_secs(20);
/// An attempt without a response head by then, queued or lost, is retried elsewhere.
const HEAD_TIMEOUT: Duration = Duration::from_millis(3000);
/// An attempt without an event for this long is resumed elsewhere.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1500);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// The text is complete.
    Complete,
    /// Broken off or timed out; the events so far are kept.
    Interrupted,
    /// The transcriber holds another version than it reported (status 421).
    VersionMismatch,
    /// The transcriber was full, or did not execute it for another reason.
    Rejected,
    /// The transcriber could not be reached: nothing was sent.
    NotSent,
    /// An event did not follow the text, which is as before it.
    UnexpectedEvent,
    /// An event was made under a version that is not allowed: the text starts anew.
    VersionNotAllowed,
    /// A failed attempt (status 500).
    Failed,
    /// The item can never be executed (status 422).
    Unprocessable,
    /// Another response.
    Unknown,
}

/// Makes attempts.
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
        match self.while_healthy(reservation, HEAD_TIMEOUT, opening).await {
            None => AttemptOutcome::Interrupted,
            Some(Err(ClientError::NotSent)) => AttemptOutcome::NotSent,
            Some(Err(_)) => AttemptOutcome::Interrupted,
            Some(Ok(StreamResponse::Buffered(response))) => {
                reservation.record_load(&response.head);
                outcome_of(&response)
            }
            Some(Ok(StreamResponse::Stream(head, stream))) => {
                reservation.record_load(&head);
                reservation.signal_start();
                let version = stated_version(&head).or(reservation.version);
                progress.borrow_mut().text.start_attempt(version);
                self.read_events(reservation, stream, terms, progress).await
            }
        }
    }

    /// Reads events until the stream ends.
    async fn read_events(
        &self, reservation: &Reservation, mut stream: EventStream, terms: &LeaseTerms,
        progress: &SharedProgress,
    ) -> AttemptOutcome {
        loop {
            let next_event = stream.next(EVENT_TIMEOUT);
            let Some(next) = self.while_healthy(reservation, EVENT_TIMEOUT, next_event).await else {
                return AttemptOutcome::Interrupted;
            };
            match next {
                Ok(Some(event)) => match progress.borrow_mut().text.append(&event, terms.versions) {
                    Ok(()) => {}
                    Err(TextError::UnexpectedEventId) => return AttemptOutcome::UnexpectedEvent,
                    Err(TextError::VersionTooOld | TextError::MixedVersions) => {
                        return AttemptOutcome::VersionNotAllowed;
                    }
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

    /// Waits for the transcriber to send something, until the limit. While it is silent it is health-checked every
    /// [`HEALTH_CHECK_AFTER`]; `None` at the limit or as soon as a check fails.
    async fn while_healthy<T>(
        &self, reservation: &Reservation, limit: Duration, operation: impl Future<Output = T>,
    ) -> Option<T> {
        let deadline = Instant::now() + limit;
        let mut operation = pin!(operation);
        loop {
            let next_check = deadline.min(Instant::now() + HEALTH_CHECK_AFTER);
            if let Ok(output) = timeout_at(next_check, operation.as_mut()).await {
                reservation.record_heard();
                return Some(output);
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::select! {
                biased;
                output = operation.as_mut() => return Some(output),
                is_healthy = self.prober.is_healthy(reservation, HEALTH_CHECK_AFTER) => {
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

fn stated_version(head: &ResponseHead) -> Option<u64> {
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
        timeout: remaining.clamp(MIN_DEADLINE, MAX_DEADLINE),
    }
}
