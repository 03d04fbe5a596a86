//! A call: one request on a pooled connection, until the head of its response has arrived.

use crate::connection::{Connection, ExchangeError};
use crate::error::ClientError;
use crate::model::{BufferedResponse, ClientLimits, OutgoingRequest, Target};
use crate::pool::{Checkout, ConnectReason, ConnectionSlot, PooledConnection};
use crate::request::{self, WireRequest};
use crate::response::{Expectation, ValidatedResponse, read_body, validate};
use crate::state::ClientState;
use http::{Method, Response};
use hyper::body::Incoming;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A request with less time left than this is not written, because `Deadline-Ms` counts whole milliseconds.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// A call in flight.
///
/// Whether its request may have been written decides which [`ClientError`] a failure is reported as.
pub(crate) struct Call<'a> {
    state: &'a ClientState,
    limits: ClientLimits,
    /// Connections that the call may use beyond the limit.
    extra_connections: usize,
    target: &'a Target,
    deadline: Instant,
    /// Time from which on the request is no longer written, if there is such a limit.
    send_by: Option<Instant>,
    /// Whether bytes of the request may have been written.
    may_have_been_written: Cell<bool>,
}

/// A response whose head has arrived, and the connection from which its body is still to be read.
pub(crate) struct StartedResponse {
    pub(crate) connection: PooledConnection,
    pub(crate) response: ValidatedResponse,
    pub(crate) body: Incoming,
}

impl StartedResponse {
    fn new(
        mut connection: PooledConnection, response: Response<Incoming>, expectation: Expectation<'_>,
    ) -> Result<StartedResponse, ClientError> {
        let (response, body) = validate(response, expectation)?;
        connection.record_response(expectation.request_id, response.head.status);
        Ok(StartedResponse { connection, response, body })
    }

    /// Reads the body, then returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::MayHaveRun`] and closes the connection if the body is truncated, exceeds
    /// `max_body_bytes`, or has an end that cannot be distinguished from a broken connection.
    pub(crate) async fn buffer(self, max_body_bytes: usize) -> Result<BufferedResponse, ClientError> {
        let StartedResponse { mut connection, response, body } = self;
        if !response.framing.is_delimited {
            return Err(ClientError::MayHaveRun);
        }
        let body = read_body(&mut connection.connection, body, max_body_bytes).await?;
        connection.release(response.framing.idle_limit).await;
        Ok(BufferedResponse { head: response.head, body })
    }
}

impl<'a> Call<'a> {
    /// Creates a call whose deadline is `timeout` from now.
    pub(crate) fn new(
        state: &'a ClientState, limits: ClientLimits, target: &'a Target, timeout: Duration,
    ) -> Call<'a> {
        let deadline = Instant::now() + timeout;
        Call {
            state,
            limits,
            target,
            deadline,
            extra_connections: 0,
            send_by: None,
            may_have_been_written: Cell::new(false),
        }
    }

    /// Allows this many connections beyond the limit.
    pub(crate) fn with_extra_connections(self, extra_connections: usize) -> Call<'a> {
        Call { extra_connections, ..self }
    }

    /// Sets the time from which on the request is no longer written.
    pub(crate) fn with_send_by(self, send_by: Instant) -> Call<'a> {
        Call { send_by: Some(send_by), ..self }
    }

    /// Runs the work of this call, and cancels it at the deadline.
    ///
    /// # Errors
    ///
    /// At the deadline, returns [`ClientError::TimedOut`] if the request may have been written, else
    /// [`ClientError::NotSent`].
    pub(crate) async fn run_until_deadline<T>(
        &self, work: impl Future<Output = Result<T, ClientError>>,
    ) -> Result<T, ClientError> {
        timeout_at(self.deadline, work).await.unwrap_or_else(|_| Err(self.deadline_error()))
    }

    /// Waits for a connection, sends a request on it and waits for the head of the response.
    pub(crate) async fn start(&self, request: OutgoingRequest) -> Result<StartedResponse, ClientError> {
        let request_id = request.request_id.clone();
        let expectation = Expectation {
            request_id: &request_id,
            is_head_request: request.method == Method::HEAD,
            max_idle: self.limits.idle_timeout,
        };
        let request = request::build(self.target, request)?;
        match self.state.pool.checkout(self.target, self.extra_connections, &request_id).await {
            Checkout::Reused(connection) => {
                self.send_on_idle_connection(connection, request, expectation).await
            }
            Checkout::Connect(slot, reason) => {
                self.send_on_new_connection(slot, reason, request, expectation).await
            }
            Checkout::TargetRemoved => Err(ClientError::NotSent),
        }
    }

    /// Sends on an idle connection of the pool. If that is closed before a byte is written, sends on a new one.
    async fn send_on_idle_connection(
        &self, mut connection: PooledConnection, request: WireRequest, expectation: Expectation<'_>,
    ) -> Result<StartedResponse, ClientError> {
        match self.exchange(&mut connection.connection, request).await {
            Ok(response) => StartedResponse::new(connection, response, expectation),
            Err(ExchangeError::NotWritten(request)) => {
                self.may_have_been_written.set(false);
                let slot = connection.into_slot();
                self.send_on_new_connection(slot, ConnectReason::Replacement, *request, expectation).await
            }
            Err(ExchangeError::Broken) => Err(ClientError::MayHaveRun),
        }
    }

    async fn send_on_new_connection(
        &self, slot: ConnectionSlot, reason: ConnectReason, request: WireRequest,
        expectation: Expectation<'_>,
    ) -> Result<StartedResponse, ClientError> {
        self.state.metrics.update(|metrics| match reason {
            ConnectReason::Initial => metrics.initial_connection_attempts += 1,
            ConnectReason::Replacement => metrics.replacement_connection_attempts += 1,
            ConnectReason::Additional => {}
        });
        let mut connection = self.connect(slot).await?;
        if connection.is_target_removed() {
            return Err(ClientError::NotSent);
        }
        match self.exchange(&mut connection.connection, request).await {
            Ok(response) => StartedResponse::new(connection, response, expectation),
            Err(ExchangeError::NotWritten(_)) => Err(ClientError::NotSent),
            Err(ExchangeError::Broken) => Err(ClientError::MayHaveRun),
        }
    }

    async fn connect(&self, slot: ConnectionSlot) -> Result<PooledConnection, ClientError> {
        self.state.metrics.update(|metrics| metrics.connection_attempts += 1);
        let connect_deadline = self.deadline.min(Instant::now() + self.limits.connect_timeout);
        match timeout_at(connect_deadline, Connection::open(self.target.address)).await {
            Ok(Ok(connection)) => Ok(slot.fill(connection)),
            Ok(Err(error)) => {
                log::debug!(
                    "connecting to transcriber failed, request not sent address={}: {error}",
                    self.target.address
                );
                Err(ClientError::NotSent)
            }
            Err(_) => Err(ClientError::NotSent),
        }
    }

    /// Writes a request with `Deadline-Ms` set to the time left now, and waits for the head of the response. Does not
    /// write it if its time is over.
    async fn exchange(
        &self, connection: &mut Connection, mut request: WireRequest,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let now = Instant::now();
        let time_left = self.deadline.saturating_duration_since(now);
        let is_past_send_by = self.send_by.is_some_and(|send_by| now >= send_by);
        if is_past_send_by || time_left < MIN_TIME_LEFT {
            return Err(ExchangeError::NotWritten(Box::new(request)));
        }
        request::set_deadline(&mut request, time_left);
        self.state.metrics.update(|metrics| metrics.requests += 1);
        self.may_have_been_written.set(true);
        connection.exchange(request).await
    }

    /// Returns the error to report once the deadline has passed.
    fn deadline_error(&self) -> ClientError {
        if self.may_have_been_written.get() { ClientError::TimedOut } else { ClientError::NotSent }
    }
}
