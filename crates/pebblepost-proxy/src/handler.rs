//! One request from its head to its answer.

use crate::answer::{self, AnswerBody, Payload};
use crate::context::Context;
use crate::dispatch::{self, ClientRequest, DispatchOutcome};
use crate::lifecycle::Phase;
use crate::request::{BufferedBody, Rejection, RequestHead, read_body};
use crate::tracked_stream::Activity;
use http::header::CONNECTION;
use http::{HeaderValue, Method, Request, Response};
use hyper::body::Incoming;
use log::debug;
use pebblepost_batch_runner::BatchRunner;
use pebblepost_configuration::{Route, RouteKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A request with a deadline that arrives before the first configuration waits for it so long: a refusal that
/// comes early costs the client little.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(15);
/// Batch jobs and calls about them wait so long. Their callers have tens of seconds and few tries, and after a restart of
/// all machines the configuration is there again within about a second.
const JOB_CONFIGURATION_WAIT: Duration = Duration::from_millis(2500);
/// Answers are given this much ahead of a client's deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// Answers one request on a client's connection.
pub(crate) async fn handle(
    context: Rc<Context>, activity: Activity, request: Request<Incoming>,
) -> Response<AnswerBody> {
    activity.request_started();
    let mut response = respond(&context, request).await.unwrap_or_else(|rejection| {
        debug!("rejected: {rejection:?}");
        context.metrics.update(|counts| counts.rejected += 1);
        answer::rejected(rejection)
    });
    let headers = response.headers_mut();
    if context.lifecycle.phase() == Phase::Serving {
        answer::set_keep_alive(headers, context.limits().idle_timeout);
    } else {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|payload| AnswerBody::new(payload, activity))
}

async fn respond(context: &Rc<Context>, request: Request<Incoming>) -> Result<Response<Payload>, Rejection> {
    let arrived = Instant::now();
    let limits = context.limits();
    let (parts, body) = request.into_parts();
    let head = RequestHead::check(parts, &limits)?;
    let body = read_body(body, &limits, &context.memory).await?;
    context.metrics.update(|counts| counts.requests += 1);
    // Looked up when the request is whole: the newest configuration holds for it.
    let configuration = context.configuration_within(configuration_wait(&head)).await;
    let configuration = configuration.ok_or(Rejection::NotConfigured)?;
    if BatchRunner::is_job_call(head.path_only()) {
        // Whatever has become of its route: a job that was taken is kept, and read, all the same.
        return ask_runner(context, None, head, body).await;
    }
    if head.request_id.is_empty() {
        return Err(Rejection::Malformed);
    }
    let route = configuration.route(&head.host, head.path_only()).ok_or(Rejection::NoRoute)?;
    if route.kind != RouteKind::Rollout {
        let deadline = deadline(context, route, &head, arrived);
        return Ok(forward(context, route, ClientRequest { head, body, deadline }).await);
    }
    if head.method != Method::POST {
        return Err(Rejection::NoRoute);
    }
    ask_runner(context, Some(route), head, body).await
}

/// How long a request may wait for the first configuration. Which route it takes is not known before; a submitted batch
/// job is told by its having no deadline.
fn configuration_wait(head: &RequestHead) -> Duration {
    let is_of_a_job = head.deadline.is_none() || BatchRunner::is_job_call(head.path_only());
    if is_of_a_job { JOB_CONFIGURATION_WAIT } else { CONFIGURATION_WAIT }
}

/// When the client must have its answer.
fn deadline(context: &Context, route: &Route, head: &RequestHead, arrived: Instant) -> Instant {
    let most = head.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let deadline = arrived + most.saturating_sub(DEADLINE_MARGIN);
    context.lifecycle.end().map_or(deadline, |end| deadline.min(end))
}

async fn ask_runner(
    context: &Rc<Context>, route: Option<&Route>, head: RequestHead, body: BufferedBody,
) -> Result<Response<Payload>, Rejection> {
    let mut request = Request::new(body.bytes.clone());
    *request.method_mut() = head.method;
    *request.uri_mut() = head.path.parse().map_err(|_| Rejection::Malformed)?;
    *request.headers_mut() = head.headers;
    Ok(context.runner.answer(route, request).await.map(Payload::Whole))
}

async fn forward(context: &Context, route: &Route, request: ClientRequest) -> Response<Payload> {
    let method = request.head.method.clone();
    let outcome = dispatch::dispatch(&context.backends, &context.metrics, route, request).await;
    match outcome {
        DispatchOutcome::Response(buffered) => {
            context.metrics.update(|counts| counts.answered += 1);
            answer::of_transcriber(buffered, &method)
        }
        DispatchOutcome::Stream(head, events) => {
            context.metrics.update(|counts| counts.answered += 1);
            answer::of_stream(head, events)
        }
        DispatchOutcome::NotExecuted { retry_after } => {
            context.metrics.update(|counts| counts.refused += 1);
            answer::refused(retry_after)
        }
        DispatchOutcome::Indeterminate(status) => {
            context.metrics.update(|counts| counts.failed += 1);
            answer::own(status)
        }
    }
}
