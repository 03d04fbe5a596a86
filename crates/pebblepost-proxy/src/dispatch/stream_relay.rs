//! Relays the events of a stream to the client, and resumes the stream at another transcriber if its
//! route allows it.

use super::admission::AfterAttempt;
use super::forwarding::{Forwarded, Forwarding, OpenStream};
use crate::metrics::Metrics;
use bytes::Bytes;
use log::debug;
use pebblepost_dispatch::api::{Report, Status};
use pebblepost_transcriber::{ClientError, StreamEvent};
use std::rc::Rc;
use std::time::Duration;

/// Minimum time without an event after which a resumable stream is resumed at another transcriber.
/// Clients abandon a stream that is idle for two seconds or four latency targets, whichever is
/// longer; this time-out is half of that.
const MIN_STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// The same time-out in latency targets; the longer of the two applies.
const STREAM_IDLE_TIMEOUT_LATENCY_TARGETS: u32 = 2;

/// Error of a stream that can't be completed. The client's connection is closed, so that the response
/// does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("transcriber stream broke off and could not be resumed")]
pub(crate) struct BrokenStream;

/// State of a stream that is relayed from a transcriber to a client.
#[derive(Debug)]
pub(super) struct StreamRelay {
    forwarding: Forwarding,
    stream: OpenStream,
    metrics: Rc<Metrics>,
}

impl StreamRelay {
    /// Creates the relay of a stream whose head has been received.
    pub(super) fn new(forwarding: Forwarding, stream: OpenStream, metrics: Rc<Metrics>) -> StreamRelay {
        StreamRelay { forwarding, stream, metrics }
    }

    /// Waits for the next event. Returns the relay with the event's bytes, or with `None` once the
    /// stream is complete.
    ///
    /// # Errors
    /// The result is [`BrokenStream`] if the stream broke off and could not be resumed.
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

    /// Returns whether the client already has the event. A resumed stream may begin with events that
    /// were already forwarded.
    fn is_repeated(&self, event: &StreamEvent) -> bool {
        self.forwarding.last_event_id.is_some_and(|last| event.id <= last)
    }

    /// Returns whether events are missing before this one. Event ids increase by one.
    fn is_out_of_order(&self, event: &StreamEvent) -> bool {
        self.forwarding.last_event_id.is_some_and(|last| event.id != last + 1)
    }

    /// Reports that the attempt that carried the stream failed.
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

    /// Requests the rest of the stream from another transcriber.
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
