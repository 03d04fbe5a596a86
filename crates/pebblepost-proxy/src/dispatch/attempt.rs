//! One attempt at one transcriber, with health checks while no response arrives.
//!
//! This module does not decide about retries. It only abandons a transcriber that fails a health
//! check, and only while another attempt is allowed.

use super::route_policy::RoutePolicy;
use pebblepost_transcriber::{
    BufferedResponse, Client, ClientError, EventStream, OutgoingRequest, ResponseHead, StreamResponse, Target,
};
use std::pin::pin;
use std::time::Duration;

/// Delay of the first health check, in latency targets of the route.
const HEALTH_CHECK_DELAY_LATENCY_TARGETS: u32 = 2;
/// Minimum delay of the first health check. The delay doubles after each check.
const MIN_HEALTH_CHECK_DELAY: Duration = Duration::from_millis(250);
/// A transcriber that does not report its load within this time fails its health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Response of a transcriber to an attempt.
#[derive(Debug)]
pub(super) enum AttemptResponse {
    /// The transcriber returned a complete response.
    Buffered(BufferedResponse),
    /// The transcriber returned the head of a stream; its events follow.
    Stream(ResponseHead, EventStream),
}

/// Parameters of one attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt<'a> {
    /// Client that sends the request.
    pub(super) client: &'a Client,
    /// Transcriber that receives the request.
    pub(super) target: &'a Target,
    /// Policy of the request's route.
    pub(super) policy: &'a RoutePolicy,
    /// Whether another attempt is allowed if this one fails.
    pub(super) can_retry: bool,
}

impl Attempt<'_> {
    /// Sends the request and waits for the response.
    ///
    /// Idempotent requests are accompanied by health checks of the transcriber. Other requests are
    /// not, because they can't be sent to another transcriber once they have been sent.
    ///
    /// # Errors
    /// Returns the client's error, or [`ClientError::TimedOut`] if a health check fails.
    pub(super) async fn send(&self, request: OutgoingRequest) -> Result<AttemptResponse, ClientError> {
        let mut response = pin!(self.exchange(request));
        if !self.policy.idempotent {
            return response.await;
        }
        let mut check_delay =
            (self.policy.target_latency * HEALTH_CHECK_DELAY_LATENCY_TARGETS).max(MIN_HEALTH_CHECK_DELAY);
        loop {
            if let Ok(response) = tokio::time::timeout(check_delay, response.as_mut()).await {
                return response;
            }
            if !self.can_retry {
                return response.await;
            }
            tokio::select! {
                biased;
                response = response.as_mut() => return response,
                load = self.client.request_load_report(self.target, HEALTH_CHECK_TIMEOUT) => {
                    if load.is_err() {
                        return Err(ClientError::TimedOut);
                    }
                }
            }
            check_delay *= 2;
        }
    }

    async fn exchange(&self, request: OutgoingRequest) -> Result<AttemptResponse, ClientError> {
        if !self.policy.is_streaming() {
            return self.client.send(self.target, request).await.map(AttemptResponse::Buffered);
        }
        match self.client.open_stream(self.target, request).await? {
            StreamResponse::Stream(head, events) => Ok(AttemptResponse::Stream(head, events)),
            StreamResponse::Buffered(response) => Ok(AttemptResponse::Buffered(response)),
        }
    }
}
