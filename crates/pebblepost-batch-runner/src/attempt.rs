//! One run of an item at a transcriber.

use crate::item_progress::SharedProgress;
use crate::lease_terms::LeaseTerms;
use crate::placement::reservation::Reservation;
use crate::shared::Shared;
use crate::text::TextError;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use pebblepost_messages::batch::Item;
use pebblepost_transcriber::{
    BufferedResponse, ClientError, EventStream, OutgoingRequest, ResponseHead, StreamResponse,
};
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// `Priority` that a transcriber takes a request without one for.
const DEFAULT_PRIORITY: u16 = 5;
/// `Priority` of the most urgent items, unless their route is of the highest rank: other requests come first.
const BEHIND_OTHERS: u16 = 6;
/// Items that are due within these times are let in ahead of others of the same rank, the second ahead of the first.
const DUE_SOON: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(3)];
/// A transcriber of which nothing came for so long is asked whether it is there.
const LOOK_AFTER: Duration = Duration::from_millis(500);
/// Bounds of `Deadline-Ms`.
const LEAST_DEADLINE: Duration = Duration::from_secs(1);
const MOST_DEADLINE: Duration = Duration::from_secs(20);
/// A run that has not begun after this time, in a queue or lost, is tried elsewhere.
const HEAD_TIMEOUT: Duration = Duration::from_millis(3000);
/// A run without an event for so long is continued elsewhere.
const SILENCE: Duration = Duration::from_millis(1500);

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// The text is whole.
    Whole,
    /// Broken off: what came of the text is kept.
    Broken,
    /// The transcriber holds another version by now.
    VersionMoved,
    /// The transcriber was full, or did not take it for another reason.
    NotTaken,
    /// It could not be reached: nothing was sent.
    NotSent,
    /// An event did not continue the text; the text is as before it.
    UnexpectedEvent,
    /// The versions of the text are not allowed: it starts anew.
    WrongVersion,
    /// A failed attempt (status 500).
    Failed,
    /// It can never be done (status 422).
    Impossible,
    /// Another answer.
    Unclear,
}

/// Runs an item once.
pub(crate) async fn run(
    shared: &Shared, terms: &LeaseTerms, item: &Item, place: &Reservation, progress: &SharedProgress,
) -> RunEnd {
    if !progress.borrow().text.can_resume_under(place.version, terms.versions) {
        progress.borrow_mut().text.clear();
    }
    let last_event = progress.borrow().text.last_event();
    let outgoing = request(terms, item, place.version, last_event);
    let opening = shared.client.open_stream(&place.target, outgoing);
    match watch(shared, place, HEAD_TIMEOUT, opening).await {
        None => RunEnd::Broken,
        Some(Err(ClientError::NotSent)) => RunEnd::NotSent,
        Some(Err(_)) => RunEnd::Broken,
        Some(Ok(StreamResponse::Whole(answer))) => {
            place.record_load(&answer.head);
            end_of_answer(&answer)
        }
        Some(Ok(StreamResponse::Stream(head, stream))) => {
            place.record_load(&head);
            place.signal_start();
            let version = head_version(&head).or(place.version);
            progress.borrow_mut().text.start_attempt(version);
            read(shared, place, stream, terms, progress).await
        }
    }
}

/// Reads events until the stream ends.
async fn read(
    shared: &Shared, place: &Reservation, mut stream: EventStream, terms: &LeaseTerms,
    progress: &SharedProgress,
) -> RunEnd {
    loop {
        let Some(next) = watch(shared, place, SILENCE, stream.next(SILENCE)).await else {
            return RunEnd::Broken;
        };
        match next {
            Ok(Some(event)) => match progress.borrow_mut().text.append(&event, terms.versions) {
                Ok(()) => {}
                Err(TextError::UnexpectedEventId) => return RunEnd::UnexpectedEvent,
                Err(TextError::VersionTooOld | TextError::MixedVersions) => return RunEnd::WrongVersion,
            },
            Ok(None) if progress.borrow().text.last_event() > 0 => {
                progress.borrow_mut().is_complete = true;
                return RunEnd::Whole;
            }
            Ok(None) => return RunEnd::Unclear,
            Err(_) => return RunEnd::Broken,
        }
    }
}

/// Waits for what a transcriber does, `most` at most. One that is quiet is asked for its load now and then: `None` as soon
/// as it does not answer.
async fn watch<T>(
    shared: &Shared, place: &Reservation, most: Duration, work: impl Future<Output = T>,
) -> Option<T> {
    let until = Instant::now() + most;
    let mut work = pin!(work);
    loop {
        if let Ok(done) = timeout_at(until.min(Instant::now() + LOOK_AFTER), work.as_mut()).await {
            place.record_heard();
            return Some(done);
        }
        if Instant::now() >= until {
            return None;
        }
        tokio::select! {
            biased;
            done = work.as_mut() => return Some(done),
            is_there = shared.placer.prober.is_healthy(place, LOOK_AFTER) => {
                if !is_there {
                    return None;
                }
            }
        }
    }
}

fn end_of_answer(answer: &BufferedResponse) -> RunEnd {
    let head = &answer.head;
    match head.status {
        StatusCode::MISDIRECTED_REQUEST => RunEnd::VersionMoved,
        _ if head.not_executed => RunEnd::NotTaken,
        StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed,
        StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Impossible,
        _ => RunEnd::Unclear,
    }
}

fn head_version(head: &ResponseHead) -> Option<u64> {
    head.headers.get("weight-versions")?.to_str().ok()?.trim().parse().ok()
}

/// The request that runs an item.
fn request(terms: &LeaseTerms, item: &Item, version: Option<u64>, last_event: u64) -> OutgoingRequest {
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
    let left = terms.expires_at.saturating_duration_since(Instant::now());
    OutgoingRequest {
        method: Method::POST,
        path: item.path.clone(),
        headers,
        body: Bytes::copy_from_slice(&item.body),
        request_id: item.id.clone(),
        deadline: left.clamp(LEAST_DEADLINE, MOST_DEADLINE),
    }
}

/// `Priority` of an item by the rank of its route and the time until its results are due; 0 is let in first.
pub fn priority(rank: u32, until_due: Duration) -> u16 {
    let sooner = DUE_SOON.iter().filter(|soon| until_due < **soon).count() as u16;
    match rank {
        0 => DEFAULT_PRIORITY - sooner,
        _ => BEHIND_OTHERS + DUE_SOON.len() as u16 - sooner,
    }
}

/// Sets a header; one that HTTP does not allow is left out.
pub(crate) fn insert(headers: &mut HeaderMap, name: &str, value: &str) {
    let parsed = (HeaderName::from_bytes(name.as_bytes()), HeaderValue::from_str(value));
    if let (Ok(name), Ok(value)) = parsed {
        headers.insert(name, value);
    }
}
