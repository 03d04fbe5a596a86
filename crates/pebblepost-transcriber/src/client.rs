//! The client: what its callers use.

use crate::answer::{CheckedHead, Expected, check_head, read_body};
use crate::connection::{Connection, ExchangeError};
use crate::pool::{Lot, NewConnection, Place, Pool, PooledConnection};
use crate::report::{is_report, parse_load_report};
use crate::request::{self, WireRequest};
use crate::stream::{EventStream, StreamResponse, is_event_stream};
use crate::{BufferedResponse, ClientError, ClientLimits, ClientMetrics, Load, OutgoingRequest, Target};
use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use hyper::body::Incoming;
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The client; cheap to clone, shared within one thread.
#[derive(Clone)]
pub struct Client {
    shared: Rc<Shared>,
}

struct Shared {
    limits: Cell<ClientLimits>,
    counts: Cell<ClientMetrics>,
    pool: Pool,
}

/// A request on its way: how far it came decides what its failure means.
struct Progress {
    deadline: Instant,
    written: Cell<bool>,
}

/// An answer whose head has come, with the connection that its body comes on.
struct Begun {
    pooled: PooledConnection,
    checked: CheckedHead,
    body: Incoming,
}

impl fmt::Debug for Client {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Client").field("counts", &self.metrics()).finish_non_exhaustive()
    }
}

impl Progress {
    fn new(deadline: Duration) -> Progress {
        Progress { deadline: Instant::now() + deadline, written: Cell::new(false) }
    }

    /// What a call that is out of time means.
    fn timed_out(&self) -> ClientError {
        if self.written.get() { ClientError::TimedOut } else { ClientError::NotSent }
    }

    /// Runs a call until the deadline.
    async fn limit<T>(&self, call: impl Future<Output = Result<T, ClientError>>) -> Result<T, ClientError> {
        timeout_at(self.deadline, call).await.unwrap_or_else(|_| Err(self.timed_out()))
    }
}

impl Client {
    /// A client.
    pub fn new(limits: ClientLimits) -> Client {
        let shared = Shared { limits: Cell::new(limits), counts: Cell::default(), pool: Pool::new() };
        Client { shared: Rc::new(shared) }
    }

    /// Sends a request and reads its whole answer. Dropping the future closes the connection.
    pub async fn send(
        &self, target: &Target, request: OutgoingRequest,
    ) -> Result<BufferedResponse, ClientError> {
        self.send_within(self.shared.limits.get(), target, request).await
    }

    async fn send_within(
        &self, limits: ClientLimits, target: &Target, request: OutgoingRequest,
    ) -> Result<BufferedResponse, ClientError> {
        let progress = Progress::new(request.deadline);
        progress.limit(self.whole_exchange(limits, target, request, &progress)).await
    }

    /// Sends a request whose answer may be a stream; the head must come by the deadline.
    pub async fn open_stream(
        &self, target: &Target, request: OutgoingRequest,
    ) -> Result<StreamResponse, ClientError> {
        let progress = Progress::new(request.deadline);
        progress
            .limit(async {
                let begun = self.begin(self.shared.limits.get(), target, request, &progress).await?;
                if !is_event_stream(&begun.checked.head) {
                    return self.finish(begun).await.map(StreamResponse::Whole);
                }
                let Begun { pooled, checked, body } = begun;
                let CheckedHead { head, delimited, allowance } = checked;
                let stream = EventStream::new(pooled, body, delimited, allowance);
                Ok(StreamResponse::Stream(head, stream))
            })
            .await
    }

    /// Asks for the load: `GET /report`. `None`: the transcriber is alive, and tells no load. One
    /// that has no report may still tell it beside its rejection, in `Instance-Load`.
    pub async fn load_report(&self, target: &Target, timeout: Duration) -> Result<Option<Load>, ClientError> {
        self.count(|counts| counts.reports += 1);
        let request = request::own(target, Method::GET, "/report", Bytes::new(), timeout);
        // Connections that all carry requests must not hide whether the transcriber is there.
        let mut limits = self.shared.limits.get();
        limits.max_connections_per_transcriber += 1;
        let answer = self.send_within(limits, target, request).await?;
        if answer.head.status == StatusCode::OK {
            return parse_load_report(&answer.body).map(Some).ok_or(ClientError::MayHaveRun);
        }
        match answer.head.not_executed {
            true => Ok(answer.head.load),
            false => Err(ClientError::MayHaveRun),
        }
    }

    /// Sends an order: `POST /order` with a JSON body; the status. Orders and reports carry no id by which their
    /// answers could be told apart: a report in the place of the answer is a surplus one of an earlier call.
    pub async fn order(
        &self, target: &Target, body: Bytes, timeout: Duration,
    ) -> Result<StatusCode, ClientError> {
        let mut request = request::own(target, Method::POST, "/order", body, timeout);
        request.headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let answer = self.send(target, request).await?;
        match is_report(&answer.body) {
            true => Err(ClientError::MayHaveRun),
            false => Ok(answer.head.status),
        }
    }

    /// Changes the limits (a configuration came).
    pub fn set_limits(&self, limits: ClientLimits) {
        self.shared.limits.set(limits);
    }

    /// Closes the idle connections to a transcriber that drains or is gone. Calls to it that are
    /// under way and not written yet end as [`ClientError::NotSent`].
    pub fn close_idle(&self, target: &Target) {
        self.shared.pool.forget(target);
    }

    /// Counts so far.
    pub fn metrics(&self) -> ClientMetrics {
        self.shared.counts.get()
    }

    fn count(&self, change: impl FnOnce(&mut ClientMetrics)) {
        let mut counts = self.shared.counts.get();
        change(&mut counts);
        self.shared.counts.set(counts);
    }

    /// An exchange whose answer is read whole.
    async fn whole_exchange(
        &self, limits: ClientLimits, target: &Target, request: OutgoingRequest, progress: &Progress,
    ) -> Result<BufferedResponse, ClientError> {
        let begun = self.begin(limits, target, request, progress).await?;
        self.finish(begun).await
    }

    /// Sends a request and waits for the head of its answer.
    async fn begin(
        &self, limits: ClientLimits, target: &Target, request: OutgoingRequest, progress: &Progress,
    ) -> Result<Begun, ClientError> {
        let request_id = request.request_id.clone();
        let head_request = request.method == Method::HEAD;
        let expected = Expected { request_id: &request_id, head_request, idle: limits.idle_timeout };
        let mut wire = request::build(target, request)?;
        let (place, reason) = match self.shared.pool.checkout(target, limits).await {
            Lot::Reused(mut pooled) => match self.exchange(&mut pooled.connection, wire, progress).await {
                Ok(response) => {
                    let (checked, body) = check_head(response, expected)?;
                    return Ok(Begun { pooled, checked, body });
                }
                Err(ExchangeError::NotWritten(unwritten)) => {
                    progress.written.set(false);
                    wire = *unwritten;
                    (pooled.into_place(), NewConnection::Renewed)
                }
                Err(ExchangeError::Broken) => return Err(ClientError::MayHaveRun),
            },
            Lot::Free(place, reason) => (place, reason),
            Lot::Forgotten => return Err(ClientError::NotSent),
        };
        self.count(|counts| match reason {
            NewConnection::First => counts.initial_connections += 1,
            NewConnection::Renewed => counts.replaced_connections += 1,
            NewConnection::Further => {}
        });
        let mut pooled = self.open(target, place, limits, progress).await?;
        if pooled.is_forgotten() {
            return Err(ClientError::NotSent);
        }
        match self.exchange(&mut pooled.connection, wire, progress).await {
            Ok(response) => {
                let (checked, body) = check_head(response, expected)?;
                Ok(Begun { pooled, checked, body })
            }
            Err(ExchangeError::NotWritten(_)) => Err(ClientError::NotSent),
            Err(ExchangeError::Broken) => Err(ClientError::MayHaveRun),
        }
    }

    /// Opens a connection in a place of the pool.
    async fn open(
        &self, target: &Target, place: Place, limits: ClientLimits, progress: &Progress,
    ) -> Result<PooledConnection, ClientError> {
        self.count(|counts| counts.connections += 1);
        let until = progress.deadline.min(Instant::now() + limits.connect_timeout);
        match timeout_at(until, Connection::open(target.address)).await {
            Ok(Ok(connection)) => Ok(place.hold(connection)),
            Ok(Err(error)) => {
                log::debug!("connecting to transcriber {}: {error}", target.address);
                Err(ClientError::NotSent)
            }
            Err(_) => Err(ClientError::NotSent),
        }
    }

    /// Writes a request, with the time that is left at this moment, and waits for a head.
    async fn exchange(
        &self, connection: &mut Connection, mut wire: WireRequest, progress: &Progress,
    ) -> Result<http::Response<Incoming>, ExchangeError> {
        let left = progress.deadline.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(1) {
            return Err(ExchangeError::NotWritten(Box::new(wire)));
        }
        request::set_deadline(&mut wire, left);
        self.count(|counts| counts.requests += 1);
        progress.written.set(true);
        connection.exchange(wire).await
    }

    /// Reads the body, and keeps the connection if all of the answer came.
    async fn finish(&self, begun: Begun) -> Result<BufferedResponse, ClientError> {
        let Begun { mut pooled, checked, body } = begun;
        if !checked.delimited {
            return Err(ClientError::MayHaveRun);
        }
        let most_bytes = self.shared.limits.get().max_body_bytes;
        let body = read_body(&mut pooled.connection, body, most_bytes).await?;
        pooled.keep(checked.allowance).await;
        Ok(BufferedResponse { head: checked.head, body })
    }
}
