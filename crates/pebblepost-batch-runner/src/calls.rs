//! Calls of batch jobs: each goes to the primary of the job's group, and again when the primary
//! changes or can't be sure.

use crate::job::request as job_request;
use crate::job::result_page;
use crate::shared::Shared;
use crate::store_link::CallEnd;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use pebblepost_configuration::Route;
use pebblepost_messages::batch::{
    FromStore, Job, JobAnswer, JobTerms, SubmitOutcome, ToStore, store_group_of,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a submitted job is offered to primaries.
const SUBMIT_FOR: Duration = Duration::from_millis(3500);
/// How long the other calls are tried, beyond the time that they may be held.
const CALL_FOR: Duration = Duration::from_millis(2500);
/// Longest time a call for results is held.
const MOST_WAIT: Duration = Duration::from_millis(2000);
/// Pause before a store is asked again that could not be sure.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// When to come back after a job that no store took.
const RETRY_AFTER_NOTHING_SENT: Duration = Duration::from_millis(500);
/// Most bytes of a job.
const MOST_JOB_BYTES: usize = 48 * 1024 * 1024;

const REQUEST_ID: &str = "request-id";
const WAIT_MS: &str = "wait-ms";

/// Answers a call.
pub(crate) async fn answer(
    shared: &Rc<Shared>, route: Option<&Route>, request: Request<Bytes>,
) -> Response<Bytes> {
    let path = request.uri().path();
    if let Some(job) = path.strip_prefix("/lots/").filter(|_| crate::BatchRunner::is_job_call(path)) {
        return match *request.method() {
            Method::GET => read(shared, job, &request).await,
            Method::DELETE => end(shared, job).await,
            _ => status(StatusCode::METHOD_NOT_ALLOWED),
        };
    }
    if let Some(job) = path.strip_prefix("/items/") {
        return match *request.method() {
            Method::GET => item_body(shared, job, &request).await,
            _ => status(StatusCode::METHOD_NOT_ALLOWED),
        };
    }
    match route {
        Some(route) if *request.method() == Method::POST => submit(shared, route, request).await,
        Some(_) => status(StatusCode::METHOD_NOT_ALLOWED),
        None => status(StatusCode::NOT_FOUND),
    }
}

/// What is known of a job that was offered to stores.
#[derive(Default)]
struct Submission {
    /// A store may have taken it.
    may_be_taken: bool,
}

async fn submit(shared: &Rc<Shared>, route: &Route, request: Request<Bytes>) -> Response<Bytes> {
    let until = Instant::now() + SUBMIT_FOR;
    let (parts, body) = request.into_parts();
    let Some(id) = header_text(&parts.headers, REQUEST_ID).filter(|id| !id.is_empty()) else {
        return text(StatusCode::BAD_REQUEST, "the `Request-Id` is missing");
    };
    if body.len() > MOST_JOB_BYTES {
        return status(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let job = match job_request::parse(id, terms(route), Vec::from(body)) {
        Ok(job) => job,
        Err(error) => return text(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let (id, begun) = (job.id.clone(), Instant::now());
    let answer = offer(shared, job, until).await;
    log::info!(
        "batch job {id}: answered {} after {} ms",
        answer.status().as_u16(),
        begun.elapsed().as_millis()
    );
    answer
}

/// Offers a job to the primary of its group, and to its successors, until one has answered.
async fn offer(shared: &Rc<Shared>, job: Job, until: Instant) -> Response<Bytes> {
    let store_group = store_group_of(&job.id);
    let mut message = ToStore::Submit { call: 0, store_group, job };
    let mut submission = Submission::default();
    while Instant::now() < until {
        let outcome = match call_primary(shared, store_group, &mut message, until).await {
            CallEnd::Reply(FromStore::Submitted { outcome, .. }) => outcome,
            CallEnd::NotSent => continue,
            CallEnd::Reply(_) | CallEnd::NoReply => SubmitOutcome::Unknown,
        };
        match outcome {
            SubmitOutcome::Accepted => return json(StatusCode::ACCEPTED, Bytes::from_static(b"{}")),
            SubmitOutcome::Rejected { .. } if submission.may_be_taken => {
                return status(StatusCode::GATEWAY_TIMEOUT);
            }
            SubmitOutcome::Rejected { retry_after_ms } => {
                return refused(StatusCode::TOO_MANY_REQUESTS, Duration::from_millis(retry_after_ms));
            }
            SubmitOutcome::NotPrimary => shared.changes.wait(RETRY_PAUSE).await,
            SubmitOutcome::Unknown => {
                submission.may_be_taken = true;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    if submission.may_be_taken {
        return status(StatusCode::GATEWAY_TIMEOUT);
    }
    refused(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_NOTHING_SENT)
}

async fn read(shared: &Rc<Shared>, job: &str, request: &Request<Bytes>) -> Response<Bytes> {
    let start = match query(request, "start_after") {
        None | Some("") => 0,
        Some(value) => match value.parse() {
            Ok(start) => start,
            Err(_) => return text(StatusCode::BAD_REQUEST, "`start_after` is no whole number"),
        },
    };
    let wait = header_text(request.headers(), WAIT_MS)
        .and_then(|value| value.parse().ok())
        .map_or(Duration::ZERO, Duration::from_millis)
        .min(MOST_WAIT);
    let begun = Instant::now();
    let store_group = store_group_of(job);
    let message = || {
        let left = wait.saturating_sub(begun.elapsed());
        let wait_ms = u64::try_from(left.as_millis()).unwrap_or(0);
        ToStore::Read { call: 0, store_group, job: job.to_owned(), start, wait_ms }
    };
    let answer = ask_until_sure(shared, store_group, begun + wait + CALL_FOR, message, |reply| match reply {
        FromStore::Results { answer, .. } => answer,
        _ => JobAnswer::Uncertain,
    });
    found_or_not(answer.await, |page| json(StatusCode::OK, result_page::to_json(&page)))
}

async fn item_body(shared: &Rc<Shared>, job: &str, request: &Request<Bytes>) -> Response<Bytes> {
    let Some(item) = query(request, "id").filter(|item| !item.is_empty()) else {
        return text(StatusCode::BAD_REQUEST, "`id` is missing");
    };
    let store_group = store_group_of(job);
    let message = || ToStore::ItemBody { call: 0, store_group, job: job.to_owned(), item: item.to_owned() };
    let until = Instant::now() + CALL_FOR;
    let answer = ask_until_sure(shared, store_group, until, message, |reply| match reply {
        FromStore::Body { answer, .. } => answer,
        _ => JobAnswer::Uncertain,
    });
    found_or_not(answer.await, |body| {
        let mut response = Response::new(Bytes::from(body));
        let octets = HeaderValue::from_static("application/octet-stream");
        response.headers_mut().insert(CONTENT_TYPE, octets);
        response
    })
}

async fn end(shared: &Rc<Shared>, job: &str) -> Response<Bytes> {
    let store_group = store_group_of(job);
    let message = || ToStore::End { call: 0, store_group, job: job.to_owned() };
    let until = Instant::now() + CALL_FOR;
    let answer = ask_until_sure(shared, store_group, until, message, |reply| match reply {
        FromStore::Ended { answer: JobAnswer::Found(false), .. } => JobAnswer::Uncertain,
        FromStore::Ended { answer, .. } => answer,
        _ => JobAnswer::Uncertain,
    });
    found_or_not(answer.await, |_| json(StatusCode::OK, Bytes::from_static(b"{}")))
}

/// Asks the primary of a group, and its successors, until one is sure or the time is up.
async fn ask_until_sure<T>(
    shared: &Shared, group: u32, until: Instant, message: impl Fn() -> ToStore,
    answer_in: impl Fn(FromStore) -> JobAnswer<T>,
) -> JobAnswer<T> {
    while Instant::now() < until {
        match call_primary(shared, group, &mut message(), until).await {
            CallEnd::NotSent => continue,
            CallEnd::NoReply => {}
            CallEnd::Reply(reply) => match answer_in(reply) {
                JobAnswer::Uncertain => {}
                sure => return sure,
            },
        }
        shared.changes.wait(RETRY_PAUSE).await;
    }
    JobAnswer::Uncertain
}

/// The answer to a caller; 503 where nobody is sure.
fn found_or_not<T>(answer: JobAnswer<T>, found: impl FnOnce(T) -> Response<Bytes>) -> Response<Bytes> {
    match answer {
        JobAnswer::Found(content) => found(content),
        JobAnswer::NotFound => status(StatusCode::NOT_FOUND),
        JobAnswer::Uncertain => refused(StatusCode::SERVICE_UNAVAILABLE, RETRY_PAUSE),
    }
}

/// Makes a call at the primary of a group. Where there is no link to it, waits for a change first.
async fn call_primary(shared: &Shared, group: u32, message: &mut ToStore, until: Instant) -> CallEnd {
    let Some(link) = shared.links.to_primary(group) else {
        let left = until.saturating_duration_since(Instant::now());
        shared.changes.wait(left).await;
        return CallEnd::NotSent;
    };
    link.call(message, until).await
}

fn terms(route: &Route) -> JobTerms {
    let milliseconds = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    JobTerms {
        route: route.name.clone(),
        hostname: route.hostname.clone(),
        run_deadline_ms: milliseconds(route.run_deadline),
        queue_ttl_ms: milliseconds(route.queue_ttl),
        max_attempts: route.max_attempts,
        priority: route.priority,
        single_version: route.single_version,
    }
}

fn query<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    let mut pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(found, _)| *found == name).map(|(_, value)| value)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn status(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

fn text(status: StatusCode, reason: &str) -> Response<Bytes> {
    let mut response = Response::new(Bytes::copy_from_slice(reason.as_bytes()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

fn json(status: StatusCode, body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A promise that it has not run, with the time to come back.
fn refused(code: StatusCode, after: Duration) -> Response<Bytes> {
    let mut response = status(code);
    if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}
