//! HTTP calls of batch jobs. Each call is sent to the primary of the job's store group, and sent again when the
//! primary changes or gives no definite answer.
//!
//! This module has no state. A call that may have been executed is never answered as if it had not been.

use crate::change_signal::ChangeSignal;
use crate::encoded_items::EncodedItems;
use crate::job::body::JobBody;
use crate::job::http_response::{empty, json, octet_stream, plain_text, retry_after};
use crate::job::request::{JobError, SubmittedJob};
use crate::job::{request, result_page};
use crate::store::link::{CallOutcome, StoreLink};
use crate::store::links::StoreLinks;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use pebblepost_configuration::Route;
use pebblepost_memory::{BlockBuffer, MemoryBudget, OutOfMemory};
use pebblepost_messages::batch::{
    FromStore, Job, JobResponse, JobTerms, SubmitOutcome, ToStore, store_group_of,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time limit of a submission, which is retried at the primary of the job's store group and at its successors.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time limit of the other calls, retries included. The wait that the client requests is added to it.
const CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum time that a read waits for a result.
const MAX_READ_WAIT: Duration = Duration::from_millis(2000);
/// Backoff before a store that gave no definite answer is called again.
const RETRY_BACKOFF: Duration = Duration::from_millis(60);
/// Size of an encoded job from which on it is announced and sent only when the stores have reserved memory for it. What
/// smaller jobs take while they arrive is left to the stores' margin.
const MIN_ANNOUNCED_BYTES: usize = 256 * 1024;
/// `Retry-After` of a submission that was sent to no store.
const NOT_SUBMITTED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` of a call for which there is no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(250);

const JOBS_PREFIX: &str = "/lots/";
const ITEMS_PREFIX: &str = "/items/";
const REQUEST_ID: &str = "request-id";
const WAIT_MS: &str = "wait-ms";

/// Returns whether a path is that of a call about a submitted job.
pub(crate) fn is_job_call(path: &str) -> bool {
    path.starts_with(JOBS_PREFIX) || path.starts_with(ITEMS_PREFIX)
}

/// Answers the HTTP calls of batch jobs.
pub(crate) struct JobApi {
    pub(crate) links: Rc<StoreLinks>,
    pub(crate) changes: Rc<ChangeSignal>,
    /// Bounds the memory of answers.
    pub(crate) memory: MemoryBudget,
}

impl JobApi {
    /// Answers a call. `route` is the `rollout` route of a submission.
    pub(crate) async fn answer(
        &self, route: Option<&Route>, request: Request<BlockBuffer>,
    ) -> Response<JobBody> {
        let path = request.uri().path();
        if let Some(job) = path.strip_prefix(JOBS_PREFIX) {
            return match *request.method() {
                Method::GET => self.read(job, &request).await,
                Method::DELETE => self.end(job).await,
                _ => empty(StatusCode::METHOD_NOT_ALLOWED),
            };
        }
        if let Some(job) = path.strip_prefix(ITEMS_PREFIX) {
            return match *request.method() {
                Method::GET => self.item_body(job, &request).await,
                _ => empty(StatusCode::METHOD_NOT_ALLOWED),
            };
        }
        match route {
            Some(route) if *request.method() == Method::POST => self.submit(route, request).await,
            Some(_) => empty(StatusCode::METHOD_NOT_ALLOWED),
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    async fn submit(&self, route: &Route, request: Request<BlockBuffer>) -> Response<JobBody> {
        let started_at = Instant::now();
        let deadline = started_at + SUBMIT_TIMEOUT;
        let (parts, body) = request.into_parts();
        let Some(id) = header_text(&parts.headers, REQUEST_ID).filter(|id| !id.is_empty()) else {
            return plain_text(StatusCode::BAD_REQUEST, "header `Request-Id` is missing or empty");
        };
        let text_bytes = body.unread_bytes();
        let submitted = match request::parse(id, terms_of(route), body).await {
            Ok(submitted) => submitted,
            Err(error) => return rejected(id, text_bytes, &error),
        };
        let SubmittedJob { job, items } = submitted;
        let (item_count, reserved_bytes) = (items.count(), items.reserved_bytes());
        let parse_ms = started_at.elapsed().as_millis();
        let response = self.submit_until_decided(&job, Rc::new(items), deadline).await;
        let elapsed_ms = started_at.elapsed().as_millis();
        log::info!(
            "job submission answered job={} status={} elapsed_ms={elapsed_ms} parse_ms={parse_ms} \
             items={item_count} text_bytes={text_bytes} reserved_bytes={reserved_bytes}",
            job.id,
            response.status().as_u16()
        );
        response
    }

    /// Submits a job to the primary of its store group, and to its successors, until one accepts or rejects it.
    async fn submit_until_decided(
        &self, job: &Job, items: Rc<EncodedItems>, deadline: Instant,
    ) -> Response<JobBody> {
        let store_group = store_group_of(&job.id);
        let mut may_have_been_accepted = false;
        while Instant::now() < deadline {
            let Some(link) = self.primary_link(store_group, deadline).await else { continue };
            let announced = announce(&link, job, &items, deadline).await;
            let outcome = match announced {
                SubmitOutcome::Reserved => match link.submit(store_group, job, &items, deadline).await {
                    CallOutcome::Reply(FromStore::Submitted { outcome, .. }) => outcome,
                    CallOutcome::NotSent => continue,
                    CallOutcome::Reply(_) | CallOutcome::NoReply => SubmitOutcome::Unknown,
                },
                outcome => outcome,
            };
            match outcome {
                SubmitOutcome::Accepted => {
                    return json(StatusCode::ACCEPTED, Bytes::from_static(b"{}").into());
                }
                SubmitOutcome::Rejected { .. } if may_have_been_accepted => {
                    return empty(StatusCode::GATEWAY_TIMEOUT);
                }
                SubmitOutcome::Rejected { retry_after_ms } => {
                    let time = Duration::from_millis(retry_after_ms);
                    return retry_after(StatusCode::TOO_MANY_REQUESTS, time);
                }
                // A job that was sent is not answered with a reservation; it would be sent again.
                SubmitOutcome::NotPrimary | SubmitOutcome::Reserved => {
                    self.changes.wait(RETRY_BACKOFF).await;
                }
                SubmitOutcome::Unknown => {
                    may_have_been_accepted = true;
                    sleep(RETRY_BACKOFF).await;
                }
            }
        }
        match may_have_been_accepted {
            true => empty(StatusCode::GATEWAY_TIMEOUT),
            false => retry_after(StatusCode::SERVICE_UNAVAILABLE, NOT_SUBMITTED_RETRY_AFTER),
        }
    }

    async fn read(&self, job: &str, request: &Request<BlockBuffer>) -> Response<JobBody> {
        let start = match query_value(request, "start_after") {
            None | Some("") => 0,
            Some(value) => match value.parse() {
                Ok(start) => start,
                Err(_) => {
                    return plain_text(
                        StatusCode::BAD_REQUEST,
                        "query parameter `start_after` is not an unsigned integer",
                    );
                }
            },
        };
        let wait = header_text(request.headers(), WAIT_MS)
            .and_then(|value| value.parse().ok())
            .map_or(Duration::ZERO, Duration::from_millis)
            .min(MAX_READ_WAIT);
        let started_at = Instant::now();
        let store_group = store_group_of(job);
        let message = || {
            let remaining = wait.saturating_sub(started_at.elapsed());
            let wait_ms = u64::try_from(remaining.as_millis()).unwrap_or(0);
            ToStore::Read { call: 0, store_group, job: job.to_owned(), start, wait_ms }
        };
        let deadline = started_at + wait + CALL_TIMEOUT;
        let answer = self.call_until_definite(store_group, deadline, message, |reply| match reply {
            FromStore::Results { answer, .. } => answer,
            _ => JobResponse::Unavailable,
        });
        respond(answer.await, |page| match result_page::to_body(page, &self.memory) {
            Ok(body) => json(StatusCode::OK, body),
            Err(error) => without_memory(job, error),
        })
    }

    async fn item_body(&self, job: &str, request: &Request<BlockBuffer>) -> Response<JobBody> {
        let Some(item) = query_value(request, "id").filter(|item| !item.is_empty()) else {
            return plain_text(StatusCode::BAD_REQUEST, "query parameter `id` is missing or empty");
        };
        let store_group = store_group_of(job);
        let message =
            || ToStore::ItemBody { call: 0, store_group, job: job.to_owned(), item: item.to_owned() };
        let deadline = Instant::now() + CALL_TIMEOUT;
        let answer = self.call_until_definite(store_group, deadline, message, |reply| match reply {
            FromStore::Body { answer, .. } => answer,
            _ => JobResponse::Unavailable,
        });
        respond(answer.await, |body| match self.memory.reserve(body.len()) {
            Ok(reservation) => octet_stream(JobBody::reserved(Bytes::from(body), reservation)),
            Err(error) => without_memory(job, error),
        })
    }

    async fn end(&self, job: &str) -> Response<JobBody> {
        let store_group = store_group_of(job);
        let message = || ToStore::End { call: 0, store_group, job: job.to_owned() };
        let deadline = Instant::now() + CALL_TIMEOUT;
        let answer = self.call_until_definite(store_group, deadline, message, |reply| match reply {
            FromStore::Ended { answer: JobResponse::Found(false), .. } => JobResponse::Unavailable,
            FromStore::Ended { answer, .. } => answer,
            _ => JobResponse::Unavailable,
        });
        respond(answer.await, |_| json(StatusCode::OK, Bytes::from_static(b"{}").into()))
    }

    /// Calls the primary of a store group, and its successors, until one gives a definite answer or the deadline
    /// passes.
    async fn call_until_definite<T>(
        &self, group: u32, deadline: Instant, message: impl Fn() -> ToStore,
        extract_answer: impl Fn(FromStore) -> JobResponse<T>,
    ) -> JobResponse<T> {
        while Instant::now() < deadline {
            match self.call_primary(group, &mut message(), deadline).await {
                CallOutcome::NotSent => continue,
                CallOutcome::NoReply => {}
                CallOutcome::Reply(reply) => match extract_answer(reply) {
                    JobResponse::Unavailable => {}
                    definite_answer => return definite_answer,
                },
            }
            self.changes.wait(RETRY_BACKOFF).await;
        }
        JobResponse::Unavailable
    }

    /// Calls the primary of a store group. If there is no link to it, waits for a change instead and returns
    /// [`CallOutcome::NotSent`].
    async fn call_primary(&self, group: u32, message: &mut ToStore, deadline: Instant) -> CallOutcome {
        match self.primary_link(group, deadline).await {
            Some(link) => link.call(message, deadline).await,
            None => CallOutcome::NotSent,
        }
    }

    /// Returns the link to the primary of a store group. If there is none, returns `None` after a change.
    async fn primary_link(&self, group: u32, deadline: Instant) -> Option<Rc<StoreLink>> {
        let link = self.links.primary_link(group);
        if link.is_none() {
            self.changes.wait(deadline.saturating_duration_since(Instant::now())).await;
        }
        link
    }
}

/// Announces a large job to a store, and returns whether memory is reserved for it, or else the outcome. A small job is
/// not announced. Nothing of the job is sent, so without an answer it is not stored.
async fn announce(link: &StoreLink, job: &Job, items: &EncodedItems, deadline: Instant) -> SubmitOutcome {
    if items.encoded_bytes() < MIN_ANNOUNCED_BYTES {
        return SubmitOutcome::Reserved;
    }
    let mut message = ToStore::AnnounceJob {
        call: 0,
        store_group: store_group_of(&job.id),
        job: job.id.clone(),
        bytes: items.estimated_store_bytes(),
    };
    match link.call(&mut message, deadline).await {
        CallOutcome::Reply(FromStore::Submitted { outcome, .. }) => outcome,
        CallOutcome::Reply(_) | CallOutcome::NotSent | CallOutcome::NoReply => SubmitOutcome::NotPrimary,
    }
}

/// Returns the response to an answer, which is 503 if no store gave a definite answer.
fn respond<T>(answer: JobResponse<T>, found: impl FnOnce(T) -> Response<JobBody>) -> Response<JobBody> {
    match answer {
        JobResponse::Found(content) => found(content),
        JobResponse::NotFound => empty(StatusCode::NOT_FOUND),
        JobResponse::Unavailable => retry_after(StatusCode::SERVICE_UNAVAILABLE, RETRY_BACKOFF),
    }
}

/// Returns the response to a job that was sent to no store.
fn rejected(job: &str, text_bytes: usize, error: &JobError) -> Response<JobBody> {
    log::info!("job not submitted job={job} text_bytes={text_bytes} error={error}");
    match error {
        JobError::OutOfMemory(_) | JobError::TooLarge => {
            retry_after(StatusCode::SERVICE_UNAVAILABLE, NO_MEMORY_RETRY_AFTER)
        }
        _ => plain_text(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// Returns the response to a read for whose answer there is no memory.
fn without_memory(job: &str, error: OutOfMemory) -> Response<JobBody> {
    log::info!("read not answered job={job} error={error}");
    retry_after(StatusCode::SERVICE_UNAVAILABLE, NO_MEMORY_RETRY_AFTER)
}

fn terms_of(route: &Route) -> JobTerms {
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

fn query_value<'a>(request: &'a Request<BlockBuffer>, name: &str) -> Option<&'a str> {
    let mut pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(found, _)| *found == name).map(|(_, value)| value)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
