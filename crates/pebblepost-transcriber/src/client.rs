//! The public operations of the client.

use crate::call::{Call, StartedResponse};
use crate::error::ClientError;
use crate::event_stream::{EventStream, StreamResponse, is_event_stream};
use crate::load::{Load, is_load_report, parse_load_report};
use crate::metrics::ClientMetrics;
use crate::model::{BufferedResponse, ClientLimits, OutgoingRequest, Target};
use crate::pool::REPORT_CONNECTIONS;
use crate::request;
use crate::state::ClientState;
use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const LOAD_REPORT_PATH: &str = "/report";
const LOAD_ORDER_PATH: &str = "/order";

/// An HTTP/1.1 client for transcribers.
///
/// Clones share the connections, limits and counters. The client belongs to one thread, and its operations need a
/// `tokio` runtime.
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
    /// Creates a client without connections.
    pub fn new(limits: ClientLimits) -> Client {
        Client { state: Rc::new(ClientState::new(limits)) }
    }

    /// Sends a request and reads the complete response.
    ///
    /// Waits for a connection while all connections to the transcriber are in use. Dropping the future closes the
    /// connection, which cancels the request at the transcriber.
    ///
    /// # Errors
    ///
    /// See [`ClientError`]. A complete response is not an error, whatever its status.
    pub async fn send(
        &self, target: &Target, request: OutgoingRequest,
    ) -> Result<BufferedResponse, ClientError> {
        let call = Call::new(&self.state, self.state.limits.get(), target, request.timeout);
        self.run(call, request).await
    }

    /// Sends a request whose response may be an event stream.
    ///
    /// The head of the response must arrive by the deadline of the request. The deadline does not limit the events of
    /// a stream; a response that is not a stream is read completely by the deadline.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn open_stream(
        &self, target: &Target, request: OutgoingRequest,
    ) -> Result<StreamResponse, ClientError> {
        let call = Call::new(&self.state, self.state.limits.get(), target, request.timeout);
        call.run_until_deadline(async {
            let started = call.start(request).await?;
            if !is_event_stream(&started.response.head) {
                return self.read_body(started).await.map(StreamResponse::Buffered);
            }
            let StartedResponse { connection, response, body } = started;
            let stream = EventStream::new(connection, body, response.framing);
            Ok(StreamResponse::Stream(response.head, stream))
        })
        .await
    }

    /// Requests the load of a transcriber (`GET /report`).
    ///
    /// If the transcriber rejects the request, returns the load from the `Instance-Load` header of the rejection, or
    /// `None` without that header.
    ///
    /// # Errors
    ///
    /// See [`ClientError`]. [`ClientError::MayHaveRun`] also stands for a response that is not a load report.
    pub async fn request_load_report(
        &self, target: &Target, timeout: Duration,
    ) -> Result<Option<Load>, ClientError> {
        self.state.metrics.update(|metrics| metrics.load_reports += 1);
        let request = request::new_without_id(target, Method::GET, LOAD_REPORT_PATH, Bytes::new(), timeout);
        // Allows one connection above the limit, so that a transcriber whose connections are all in use does not
        // appear unreachable.
        let call = Call::new(&self.state, self.state.limits.get(), target, request.timeout);
        let response = self.run(call.with_extra_connections(REPORT_CONNECTIONS), request).await?;
        if response.head.status == StatusCode::OK {
            return parse_load_report(&response.body).map(Some).ok_or(ClientError::MayHaveRun);
        }
        if response.head.not_executed { Ok(response.head.load) } else { Err(ClientError::MayHaveRun) }
    }

    /// Sends a load order (`POST /order`) with a JSON body and returns the status of the response.
    ///
    /// From `send_by` on the load order is no longer written, because it may have become invalid; the call then fails
    /// with [`ClientError::NotSent`].
    ///
    /// # Errors
    ///
    /// See [`ClientError`]. [`ClientError::MayHaveRun`] also stands for a load report in place of the response: load
    /// orders and load reports carry no id, so a surplus response to an earlier request for a load report can only be
    /// recognized by its body.
    pub async fn send_load_order(
        &self, target: &Target, body: Bytes, send_by: Instant, timeout: Duration,
    ) -> Result<StatusCode, ClientError> {
        let mut request = request::new_without_id(target, Method::POST, LOAD_ORDER_PATH, body, timeout);
        request.headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let call = Call::new(&self.state, self.state.limits.get(), target, timeout).with_send_by(send_by);
        let response = self.run(call, request).await?;
        if is_load_report(&response.body) { Err(ClientError::MayHaveRun) } else { Ok(response.head.status) }
    }

    /// Replaces the limits. They apply to calls that wait for a connection, too. Under a lower limit of connections, idle
    /// ones beyond it are closed now and those in use after their response.
    pub fn set_limits(&self, limits: ClientLimits) {
        self.state.limits.set(limits);
        self.state.pool.set_max_connections(limits.max_connections_per_transcriber);
    }

    /// Closes the connections to a transcriber that is draining or has terminated: idle ones now, those in use after
    /// their response.
    ///
    /// Calls that wait for a connection to it or for its establishment fail with [`ClientError::NotSent`].
    pub fn remove_target(&self, target: &Target) {
        self.state.pool.remove(target);
    }

    /// Returns the counters since the creation of the client.
    pub fn metrics(&self) -> ClientMetrics {
        self.state.metrics.get()
    }

    async fn run(&self, call: Call<'_>, request: OutgoingRequest) -> Result<BufferedResponse, ClientError> {
        call.run_until_deadline(async {
            let started = call.start(request).await?;
            self.read_body(started).await
        })
        .await
    }

    async fn read_body(&self, started: StartedResponse) -> Result<BufferedResponse, ClientError> {
        started.buffer(self.state.limits.get().max_body_bytes).await
    }
}
