//! Handles one request: reads it, routes it, and responds.
//!
//! `request` reads and checks requests, `dispatch` forwards them, and `response` builds the responses.
//! Calls about batch jobs are passed to the batch runner.

use crate::activity::ConnectionActivity;
use crate::dispatch::{Backends, ClientRequest, DispatchOutcome, dispatch};
use crate::feed::FeedCache;
use crate::metrics::Metrics;
use crate::request::{Rejection, RequestHead, read_body};
use crate::response::{self, Payload, ResponseBody};
use crate::shutdown::Shutdown;
use http::header::CONNECTION;
use http::{HeaderValue, Method, Request, Response};
use hyper::body::Incoming;
use log::debug;
use pebblepost_batch_runner::BatchRunner;
use pebblepost_configuration::{Route, RouteKind};
use pebblepost_memory::{BlockBuffer, MemoryBudget};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum wait of a request with a deadline for the first configuration. It is short because an early
/// rejection costs the client little.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(15);
/// Maximum wait of batch jobs, and of calls about them, for the first configuration. Their callers have
/// tens of seconds but few attempts, and after a restart of all machines the configuration arrives
/// within about a second.
const JOB_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time between the deadline for a response and the client's own deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// Handles the requests of all client connections.
#[derive(Debug)]
pub(crate) struct RequestHandler {
    /// Source of the configuration.
    pub(crate) feed: Rc<FeedCache>,
    /// Backends to which requests are forwarded.
    pub(crate) backends: Rc<Backends>,
    /// Handles batch jobs.
    pub(crate) runner: BatchRunner,
    /// Bounds the memory of request bodies and of answers about batch jobs.
    pub(crate) memory: MemoryBudget,
    /// Counts requests by result.
    pub(crate) metrics: Rc<Metrics>,
    /// Gives the response deadline during a shutdown.
    pub(crate) shutdown: Rc<Shutdown>,
}

impl RequestHandler {
    /// Responds to one request on a client connection. A rejected request gets an error response.
    pub(crate) async fn handle(
        self: Rc<Self>, activity: ConnectionActivity, request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        activity.mark_request_started();
        let mut response = self.respond(&activity, request).await.unwrap_or_else(|rejection| {
            debug!("request rejected: {rejection}");
            self.metrics.update(|counts| counts.rejected += 1);
            response::rejected(rejection)
        });
        let headers = response.headers_mut();
        if self.shutdown.is_serving() {
            let idle_timeout = self.feed.limits().idle_timeout;
            activity.announce_idle_timeout(idle_timeout);
            response::set_keep_alive(headers, idle_timeout);
        } else {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response.map(|payload| ResponseBody::new(payload, activity))
    }

    async fn respond(
        &self, activity: &ConnectionActivity, request: Request<Incoming>,
    ) -> Result<Response<Payload>, Rejection> {
        let arrived = Instant::now();
        let limits = self.feed.limits();
        let (parts, body) = request.into_parts();
        let head = RequestHead::check(parts, &limits)?;
        let body = read_body(body, &limits, &self.memory).await?;
        activity.mark_body_read();
        self.metrics.update(|counts| counts.requests += 1);
        // The configuration is looked up after the body was read, so that the newest one applies.
        let configuration = self.feed.wait_for_configuration(configuration_timeout(&head)).await;
        let configuration = configuration.ok_or(Rejection::NotConfigured)?;
        if BatchRunner::is_job_call(head.path_without_query()) {
            // Needs no route: an accepted job stays readable when its route has been removed.
            return self.handle_job_call(None, head, body).await;
        }
        if head.request_id.is_empty() {
            return Err(Rejection::Malformed);
        }
        let route = configuration.route(&head.host, head.path_without_query()).ok_or(Rejection::NoRoute)?;
        if route.kind != RouteKind::Rollout {
            let deadline = self.deadline(route, &head, arrived);
            return Ok(self.forward(route, ClientRequest { head, body: body.into(), deadline }).await);
        }
        if head.method != Method::POST {
            return Err(Rejection::NoRoute);
        }
        self.handle_job_call(Some(route), head, body).await
    }

    /// Returns the time by which the client must have its response: the earliest of the client's
    /// deadline, the route's time-out and the response deadline of a shutdown.
    fn deadline(&self, route: &Route, head: &RequestHead, arrived: Instant) -> Instant {
        let timeout = head.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let deadline = arrived + timeout.saturating_sub(DEADLINE_MARGIN);
        self.shutdown.response_deadline().map_or(deadline, |last| deadline.min(last))
    }

    async fn forward(&self, route: &Route, request: ClientRequest) -> Response<Payload> {
        let method = request.head.method.clone();
        let outcome = dispatch(&self.backends, &self.metrics, route, request).await;
        match outcome {
            DispatchOutcome::Response(buffered) => {
                self.metrics.update(|counts| counts.responses_forwarded += 1);
                response::buffered(buffered, &method)
            }
            DispatchOutcome::Stream(head, events) => {
                self.metrics.update(|counts| counts.responses_forwarded += 1);
                response::streamed(head, events)
            }
            DispatchOutcome::NotExecuted { retry_after } => {
                self.metrics.update(|counts| counts.not_executed += 1);
                response::not_executed(retry_after)
            }
            DispatchOutcome::Indeterminate(status) => {
                self.metrics.update(|counts| counts.indeterminate += 1);
                response::empty(status)
            }
        }
    }

    async fn handle_job_call(
        &self, route: Option<&Route>, head: RequestHead, body: BlockBuffer,
    ) -> Result<Response<Payload>, Rejection> {
        let mut request = Request::new(body);
        *request.method_mut() = head.method;
        *request.uri_mut() = head.path.parse().map_err(|_| Rejection::Malformed)?;
        *request.headers_mut() = head.headers;
        Ok(self.runner.answer(route, request).await.map(Payload::Job))
    }
}

/// Returns how long a request may wait for the first configuration. Its route is unknown until then, so
/// a submitted batch job is recognized by its lack of a deadline.
fn configuration_timeout(head: &RequestHead) -> Duration {
    let is_job_call = head.deadline.is_none() || BatchRunner::is_job_call(head.path_without_query());
    if is_job_call { JOB_CONFIGURATION_TIMEOUT } else { CONFIGURATION_TIMEOUT }
}
