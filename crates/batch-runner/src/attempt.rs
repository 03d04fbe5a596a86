//! One run of an item at a transcriber.

use crate::item_run::LeaseTerms;
use crate::lease_table::SharedProgress;
use crate::placing::Place;
use crate::shared::Shared;
use crate::text::TextError;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use pebblepost_messages::batch::Item;
use pebblepost_transcriber::{Answer, AnswerHead, EventStream, Failure, Outgoing, StreamAnswer};
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// `Priority` of items, unless their route is of the highest rank: other requests come first.
pub(crate) const ITEM_PRIORITY: &str = "6";
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
    shared: &Shared, terms: &LeaseTerms, item: &Item, place: &Place, progress: &SharedProgress,
) -> RunEnd {
    if !progress.borrow().text.can_continue_under(place.version, terms.versions) {
        progress.borrow_mut().text.clear();
    }
    let last_event = progress.borrow().text.last_event();
    let outgoing = request(terms, item, place.version, last_event);
    let opening = shared.client.open_stream(&place.target, outgoing);
    match timeout(HEAD_TIMEOUT, opening).await {
        Err(_) => RunEnd::Broken,
        Ok(Err(Failure::NotSent)) => RunEnd::NotSent,
        Ok(Err(_)) => RunEnd::Broken,
        Ok(Ok(StreamAnswer::Whole(answer))) => {
            note_load(shared, place, &answer.head);
            end_of_answer(&answer)
        }
        Ok(Ok(StreamAnswer::Stream(head, stream))) => {
            note_load(shared, place, &head);
            place.has_begun();
            let version = head_version(&head).or(place.version);
            progress.borrow_mut().text.begin_run(version);
            read(stream, terms, progress).await
        }
    }
}

/// Reads events until the stream ends.
async fn read(mut stream: EventStream, terms: &LeaseTerms, progress: &SharedProgress) -> RunEnd {
    loop {
        match stream.next(SILENCE).await {
            Ok(Some(event)) => match progress.borrow_mut().text.add(&event, terms.versions) {
                Ok(()) => {}
                Err(TextError::UnexpectedId) => return RunEnd::UnexpectedEvent,
                Err(TextError::VersionTooOld | TextError::MixedVersions) => return RunEnd::WrongVersion,
            },
            Ok(None) if progress.borrow().text.last_event() > 0 => {
                progress.borrow_mut().is_whole = true;
                return RunEnd::Whole;
            }
            Ok(None) => return RunEnd::Unclear,
            Err(_) => return RunEnd::Broken,
        }
    }
}

fn end_of_answer(answer: &Answer) -> RunEnd {
    let head = &answer.head;
    match head.status {
        StatusCode::MISDIRECTED_REQUEST => RunEnd::VersionMoved,
        _ if head.not_executed => RunEnd::NotTaken,
        StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed,
        StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Impossible,
        _ => RunEnd::Unclear,
    }
}

/// Takes over the load that an answer tells.
pub(crate) fn note_load(shared: &Shared, place: &Place, head: &AnswerHead) {
    if let Some(load) = &head.load {
        shared.load.borrow_mut().answer(&place.target.instance, load, Instant::now());
    }
}

fn head_version(head: &AnswerHead) -> Option<u64> {
    head.headers.get("weight-versions")?.to_str().ok()?.trim().parse().ok()
}

/// The request that runs an item.
fn request(terms: &LeaseTerms, item: &Item, version: Option<u64>, last_event: u64) -> Outgoing {
    let mut headers = HeaderMap::with_capacity(item.headers.len() + 8);
    for (name, value) in &item.headers {
        insert(&mut headers, name, value);
    }
    pebblepost_transcriber::remove_connection_headers(&mut headers);
    insert(&mut headers, HOST.as_str(), &terms.job.hostname);
    insert(&mut headers, "request-id", &item.id);
    if terms.job.priority > 0 {
        insert(&mut headers, "priority", ITEM_PRIORITY);
    }
    if let Some(version) = version {
        headers.insert("expect-version", HeaderValue::from(version));
    }
    if last_event > 0 {
        headers.insert("last-event-id", HeaderValue::from(last_event));
    }
    let left = terms.expires_at.saturating_duration_since(Instant::now());
    Outgoing {
        method: Method::POST,
        path: item.path.clone(),
        headers,
        body: Bytes::copy_from_slice(&item.body),
        request_id: item.id.clone(),
        deadline: left.clamp(LEAST_DEADLINE, MOST_DEADLINE),
    }
}

/// Sets a header; one that HTTP does not allow is left out.
pub(crate) fn insert(headers: &mut HeaderMap, name: &str, value: &str) {
    let parsed = (HeaderName::from_bytes(name.as_bytes()), HeaderValue::from_str(value));
    if let (Ok(name), Ok(value)) = parsed {
        headers.insert(name, value);
    }
}
