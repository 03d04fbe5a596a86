//! One call: a request on a pooled connection, up to the head of its response.

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

/// With less time left than this, a request is not written: `Deadline-Ms` could not express it.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// A call in flight. How far it came decides what its failure means.
pub(crate) struct Call<'a> {
    client: &'a ClientState,
    limits: ClientLimits,
    target: &'a Target,
    deadline: Instant,
    /// The request is not written later than this.
    send_by: Option<Instant>,
    /// Bytes of the request may have been written.
    written: Cell<bool>,
}

/// A response whose head has arrived, with the connection on which its body follows.
pub(crate) struct StartedResponse {
    pub(crate) connection: PooledConnection,
    pub(crate) response: ValidatedResponse,
    pub(crate) body: Incoming,
}

impl StartedResponse {
    fn new(
        connection: PooledConnection, response: Response<Incoming>, expectation: Expectation<'_>,
    ) -> Result<StartedResponse, ClientError> {
        let (response, body) = validate(response, expectation)?;
        Ok(StartedResponse { connection, response, body })
    }

    /// Reads the body, and returns the connection to the pool if the response is complete.
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
    /// A call that ends by itself after `timeout`.
    pub(crate) fn new(
        client: &'a ClientState, limits: ClientLimits, target: &'a Target, timeout: Duration,
    ) -> Call<'a> {
        let deadline = Instant::now() + timeout;
        Call { client, limits, target, deadline, send_by: None, written: Cell::new(false) }
    }

    /// The call with a limit on the time of writing.
    pub(crate) fn sent_by(self, send_by: Instant) -> Call<'a> {
        Call { send_by: Some(send_by), ..self }
    }

    /// Runs the work of this call until its deadline.
    pub(crate) async fn until_deadline<T>(
        &self, work: impl Future<Output = Result<T, ClientError>>,
    ) -> Result<T, ClientError> {
        timeout_at(self.deadline, work).await.unwrap_or_else(|_| Err(self.timeout_error()))
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn start(&self, request: OutgoingRequest) -> Result<StartedResponse, ClientError> {
        let request_id = request.request_id.clone();
        let expectation = Expectation {
            request_id: &request_id,
            is_head_request: request.method == Method::HEAD,
            max_idle: self.limits.idle_timeout,
        };
        let request = request::build(self.target, request)?;
        let max_connections = self.limits.max_connections_per_transcriber;
        match self.client.pool.checkout(self.target, max_connections).await {
            Checkout::Reused(connection) => self.send_on_reused(connection, request, expectation).await,
            Checkout::Connect(slot, reason) => self.send_on_new(slot, reason, request, expectation).await,
            Checkout::TargetRemoved => Err(ClientError::NotSent),
        }
    }

    /// Sends on a connection of the pool, or on a new one if the former turns out to be closed.
    async fn send_on_reused(
        &self, mut connection: PooledConnection, request: WireRequest, expectation: Expectation<'_>,
    ) -> Result<StartedResponse, ClientError> {
        match self.exchange(&mut connection.connection, request).await {
            Ok(response) => StartedResponse::new(connection, response, expectation),
            Err(ExchangeError::NotWritten(request)) => {
                self.written.set(false);
                let slot = connection.into_slot();
                self.send_on_new(slot, ConnectReason::Replacement, *request, expectation).await
            }
            Err(ExchangeError::Broken) => Err(ClientError::MayHaveRun),
        }
    }

    async fn send_on_new(
        &self, slot: ConnectionSlot, reason: ConnectReason, request: WireRequest,
        expectation: Expectation<'_>,
    ) -> Result<StartedResponse, ClientError> {
        self.client.metrics.update(|metrics| match reason {
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
        self.client.metrics.update(|metrics| metrics.connection_attempts += 1);
        let connect_deadline = self.deadline.min(Instant::now() + self.limits.connect_timeout);
        match timeout_at(connect_deadline, Connection::open(self.target.address)).await {
            Ok(Ok(connection)) => Ok(slot.fill(connection)),
            Ok(Err(error)) => {
                log::debug!("connecting to transcriber failed address={}: {error}", self.target.address);
                Err(ClientError::NotSent)
            }
            Err(_) => Err(ClientError::NotSent),
        }
    }

    /// Writes a request, with the time left as of now, and waits for the head of the response.
    async fn exchange(
        &self, connection: &mut Connection, mut request: WireRequest,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let now = Instant::now();
        let time_left = self.deadline.saturating_duration_since(now);
        let is_late = self.send_by.is_some_and(|send_by| now >= send_by);
        if is_late || time_left < MIN_TIME_LEFT {
            return Err(ExchangeError::NotWritten(Box::new(request)));
        }
        request::set_deadline(&mut request, time_left);
        self.client.metrics.update(|metrics| metrics.requests += 1);
        self.written.set(true);
        connection.exchange(request).await
    }

    /// What it means that the deadline has passed.
    fn timeout_error(&self) -> ClientError {
        if self.written.get() { ClientError::TimedOut } else { ClientError::NotSent }
    }
}
