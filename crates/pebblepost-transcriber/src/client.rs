//! The client: its public operations.

use crate::call::{Call, StartedResponse};
use crate::error::ClientError;
use crate::event_stream::{EventStream, StreamResponse, is_event_stream};
use crate::load::{Load, is_load_report, parse_load_report};
use crate::metrics::ClientMetrics;
use crate::model::{BufferedResponse, ClientLimits, OutgoingRequest, Target};
use crate::request;
use crate::state::ClientState;
use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const LOAD_REPORT_PATH: &str = "/report";
const ORDER_PATH: &str = "/order";

/// The client; cheap to clone, shared within one thread.
#[derive(Clone)]
pub struct Client {
    state: Rc<ClientState>,
}

impl fmt::Debug for Client {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Client").field("metrics", &self.metrics()).finish_non_exhaustive()
    }
}

impl Client {
    /// A client without connections.
    pub fn new(limits: ClientLimits) -> Client {
        Client { state: Rc::new(ClientState::new(limits)) }
    }

    /// Sends a request and reads the complete response. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// See [`ClientError`]. A response of any status is not an error.
    pub async fn send(
        &self, target: &Target, request: OutgoingRequest,
    ) -> Result<BufferedResponse, ClientError> {
        self.send_within(self.state.limits.get(), target, request).await
    }

    /// Sends a request whose response may be an event stream. The head of the response must arrive by the deadline;
    /// other responses are read completely.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn open_stream(
        &self, target: &Target, request: OutgoingRequest,
    ) -> Result<StreamResponse, ClientError> {
        let call = Call::new(&self.state, self.state.limits.get(), target, request.timeout);
        call.until_deadline(async {
            let started = call.start(request).await?;
            if !is_event_stream(&started.response.head) {
                return self.buffer(started).await.map(StreamResponse::Buffered);
            }
            let StartedResponse { connection, response, body } = started;
            let stream = EventStream::new(connection, body, response.framing);
            Ok(StreamResponse::Stream(response.head, stream))
        })
        .await
    }

    /// Requests the load of a transcriber (`GET /report`). `None` if the transcriber responds without reporting a
    /// load. A rejected request may still report it in `Instance-Load`.
    ///
    /// # Errors
    ///
    /// See [`ClientError`]; [`ClientError::MayHaveRun`] also if the response is not a load report.
    pub async fn request_load_report(
        &self, target: &Target, timeout: Duration,
    ) -> Result<Option<Load>, ClientError> {
        self.state.metrics.update(|metrics| metrics.load_reports += 1);
        let request = request::without_id(target, Method::GET, LOAD_REPORT_PATH, Bytes::new(), timeout);
        // One connection more: a transcriber whose connections are all in use must not look unreachable.
        let mut limits = self.state.limits.get();
        limits.max_connections_per_transcriber += 1;
        let response = self.send_within(limits, target, request).await?;
        if response.head.status == StatusCode::OK {
            return parse_load_report(&response.body).map(Some).ok_or(ClientError::MayHaveRun);
        }
        if response.head.not_executed { Ok(response.head.load) } else { Err(ClientError::MayHaveRun) }
    }

    /// Sends an order (`POST /order`) with a JSON body and returns the status. The order is written before `send_by` or
    /// not at all ([`ClientError::NotSent`]): it may be valid no longer than that.
    ///
    /// Orders and load reports carry no id by which their responses could be distinguished. A load report in place of
    /// the response is a surplus one, to an earlier request.
    ///
    /// # Errors
    ///
    /// See [`ClientError`]; [`ClientError::MayHaveRun`] also if the response is a load report.
    pub async fn send_load_order(
        &self, target: &Target, body: Bytes, send_by: Instant, timeout: Duration,
    ) -> Result<StatusCode, ClientError> {
        let mut request = request::without_id(target, Method::POST, ORDER_PATH, body, timeout);
        request.headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let call = Call::new(&self.state, self.state.limits.get(), target, timeout).sent_by(send_by);
        let response = self.finish(call, request).await?;
        if is_load_report(&response.body) { Err(ClientError::MayHaveRun) } else { Ok(response.head.status) }
    }

    /// Replaces the limits; for a new configuration.
    pub fn set_limits(&self, limits: ClientLimits) {
        self.state.limits.set(limits);
    }

    /// Closes the idle connections to a transcriber that is draining or gone; those in use are closed after their
    /// response. Calls to it whose request is not written yet end with [`ClientError::NotSent`].
    pub fn remove_target(&self, target: &Target) {
        self.state.pool.remove(target);
    }

    /// Counters so far.
    pub fn metrics(&self) -> ClientMetrics {
        self.state.metrics.get()
    }

    async fn send_within(
        &self, limits: ClientLimits, target: &Target, request: OutgoingRequest,
    ) -> Result<BufferedResponse, ClientError> {
        let call = Call::new(&self.state, limits, target, request.timeout);
        self.finish(call, request).await
    }

    async fn finish(
        &self, call: Call<'_>, request: OutgoingRequest,
    ) -> Result<BufferedResponse, ClientError> {
        call.until_deadline(async {
            let started = call.start(request).await?;
            self.buffer(started).await
        })
        .await
    }

    /// Reads the body, and returns the connection to the pool if the response is complete.
    async fn buffer(&self, started: StartedResponse) -> Result<BufferedResponse, ClientError> {
        started.buffer(self.state.limits.get().max_body_bytes).await
    }
}
