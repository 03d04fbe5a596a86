//! One attempt at one transcriber, with health checks while the transcriber is silent.
//!
//! Decides nothing about retries; it only gives up a transcriber that seems to be down while
//! another attempt is allowed.

use super::route_policy::RoutePolicy;
use pebblepost_transcriber::{
    BufferedResponse, Client, ClientError, EventStream, OutgoingRequest, ResponseHead, StreamResponse, Target,
};
use std::pin::pin;
use std::time::Duration;

/// The first health check of a silent transcriber comes after this many latency targets.
const HEALTH_CHECK_AFTER_TARGETS: u32 = 2;
/// Shortest delay of the first health check; it doubles with each.
const MIN_HEALTH_CHECK_DELAY: Duration = Duration::from_millis(250);
/// A silent transcriber that does not report its load within this time counts as down.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// What a transcriber returned.
#[derive(Debug)]
pub(super) enum AttemptResponse {
    /// The complete response.
    Buffered(BufferedResponse),
    /// The head of a stream, and its events.
    Stream(ResponseHead, EventStream),
}

/// Where and how an attempt is made.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt<'a> {
    /// Sends it.
    pub(super) client: &'a Client,
    /// Transcriber that gets it.
    pub(super) target: &'a Target,
    /// Policy of the request's route.
    pub(super) policy: &'a RoutePolicy,
    /// Another attempt is allowed if this one fails.
    pub(super) can_retry: bool,
}

impl Attempt<'_> {
    /// Sends an idempotent request with health checks of a silent transcriber, any other without:
    /// it can't go elsewhere once it was sent.
    pub(super) async fn send(&self, request: OutgoingRequest) -> Result<AttemptResponse, ClientError> {
        let mut response = pin!(self.exchange(request));
        if !self.policy.idempotent {
            return response.await;
        }
        let mut check_delay =
            (self.policy.target_latency * HEALTH_CHECK_AFTER_TARGETS).max(MIN_HEALTH_CHECK_DELAY);
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
