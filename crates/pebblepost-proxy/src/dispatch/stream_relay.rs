//! Relays the events of a stream, and resumes the stream at another transcriber where its route
//! allows that.

use super::admission::AfterAttempt;
use super::forwarding::{Forwarded, Forwarding, OpenStream};
use crate::metrics::Metrics;
use bytes::Bytes;
use log::debug;
use pebblepost_dispatch::api::{Report, Status};
use pebblepost_transcriber::{ClientError, StreamEvent};
use std::rc::Rc;
use std::time::Duration;

/// Clients abandon a stream that is idle for two seconds or four latency targets, whichever is longer;
/// it is resumed elsewhere after half of that.
const MIN_STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// See [`MIN_STREAM_IDLE_TIMEOUT`].
const STREAM_IDLE_TIMEOUT_LATENCY_TARGETS: u32 = 2;

/// A stream that can't be completed: the client's connection is closed, so that the response does
/// not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the transcriber's stream broke off")]
pub(crate) struct BrokenStream;

/// A stream between a transcriber and a client.
#[derive(Debug)]
pub(super) struct StreamRelay {
    forwarding: Forwarding,
    stream: OpenStream,
    metrics: Rc<Metrics>,
}

impl StreamRelay {
    /// A stream that has begun.
    pub(super) fn new(forwarding: Forwarding, stream: OpenStream, metrics: Rc<Metrics>) -> StreamRelay {
        StreamRelay { forwarding, stream, metrics }
    }

    /// The next event's bytes, `None` at the complete end, and the relay itself.
    pub(super) async fn into_next_event(mut self) -> (StreamRelay, Result<Option<Bytes>, BrokenStream>) {
        let event = self.next_event().await;
        if event.is_err() {
            self.metrics.update(|counts| counts.streams_aborted += 1);
        }
        (self, event)
    }

    async fn next_event(&mut self) -> Result<Option<Bytes>, BrokenStream> {
        loop {
            match self.receive().await {
                Ok(Some(event)) if self.is_repeated(&event) => continue,
                Ok(Some(event)) if self.is_out_of_order(&event) => {
                    let request_id = &self.forwarding.request.head.request_id;
                    debug!("stream event out of order request={request_id} event={}", event.id);
                    self.end_broken_attempt(ClientError::MayHaveRun);
                }
                Ok(Some(event)) => {
                    self.forwarding.last_event_id = Some(event.id);
                    return Ok(Some(event.raw));
                }
                Ok(None) => {
                    self.stream.admission.end_attempt(Status::Ok, Report::new(), AfterAttempt::Closed);
                    return Ok(None);
                }
                Err(error) => self.end_broken_attempt(error),
            }
            self.resume().await?;
        }
    }

    async fn receive(&mut self) -> Result<Option<StreamEvent>, ClientError> {
        let time_left = self.forwarding.time_left();
        let policy = &self.forwarding.policy;
        let idle_timeout = match policy.is_resumable() {
            true => {
                (policy.target_latency * STREAM_IDLE_TIMEOUT_LATENCY_TARGETS).max(MIN_STREAM_IDLE_TIMEOUT)
            }
            false => time_left,
        };
        self.stream.events.next(idle_timeout.min(time_left)).await
    }

    /// Whether the client has the event: a resumed stream may begin with it.
    fn is_repeated(&self, event: &StreamEvent) -> bool {
        self.forwarding.last_event_id.is_some_and(|last| event.id <= last)
    }

    /// Whether events are missing before this one: ids rise by one.
    fn is_out_of_order(&self, event: &StreamEvent) -> bool {
        self.forwarding.last_event_id.is_some_and(|last| event.id != last + 1)
    }

    /// Ends the attempt that carried the stream, which broke off.
    fn end_broken_attempt(&mut self, error: ClientError) {
        let status = match error {
            ClientError::TimedOut => {
                self.forwarding.attempts.record_timeout();
                Status::Timeout
            }
            ClientError::NotSent | ClientError::MayHaveRun => {
                self.forwarding.attempts.record_failure();
                Status::Reset
            }
        };
        self.stream.admission.end_attempt(status, Report::new(), AfterAttempt::Closed);
    }

    /// Opens the rest of the stream at another transcriber.
    async fn resume(&mut self) -> Result<(), BrokenStream> {
        if !self.forwarding.policy.is_resumable() || !self.forwarding.attempts.can_retry() {
            return Err(BrokenStream);
        }
        match self.forwarding.run().await {
            Forwarded::Stream(stream) => {
                self.metrics.update(|counts| counts.streams_resumed += 1);
                self.stream = stream;
                Ok(())
            }
            Forwarded::Response(_) | Forwarded::Failed(_) => Err(BrokenStream),
        }
    }
}
