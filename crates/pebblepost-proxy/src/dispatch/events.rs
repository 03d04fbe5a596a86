//! Events of a stream on their way to the client, taken up at another transcriber where that is
//! allowed.

use super::call::{Call, OpenStream, Settled};
use crate::answer::BrokenAnswer;
use crate::context::Context;
use bytes::Bytes;
use log::debug;
use pebblepost_dispatch::api::{Report, Status};
use pebblepost_transcriber::{ClientError, StreamEvent};
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// Clients abandon a stream after a silence of at least two seconds or four target latencies; it
/// is taken up elsewhere this early.
const LEAST_SILENCE: Duration = Duration::from_secs(1);
/// See [`LEAST_SILENCE`].
const SILENCE_IN_TARGETS: u32 = 2;

type Step = Result<Option<Bytes>, BrokenAnswer>;
type StepFuture = Pin<Box<dyn Future<Output = (Relay, Step)>>>;

/// Body of a streamed answer. Dropping it closes the transcriber's connection.
pub(crate) struct EventBody {
    step: Option<StepFuture>,
}

impl fmt::Debug for EventBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("EventBody").finish_non_exhaustive()
    }
}

impl EventBody {
    /// The events of a stream that has begun.
    pub(super) fn new(context: Rc<Context>, call: Call, stream: OpenStream) -> EventBody {
        let relay = Relay { context, call, stream };
        EventBody { step: Some(Box::pin(relay.step())) }
    }

    /// The next event's bytes; `None` at the complete end.
    pub(crate) fn poll_event(
        &mut self, context: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<Bytes, BrokenAnswer>>> {
        let Some(step) = &mut self.step else { return Poll::Ready(None) };
        let Poll::Ready((relay, step)) = step.as_mut().poll(context) else { return Poll::Pending };
        self.step = None;
        match step {
            Ok(Some(bytes)) => {
                self.step = Some(Box::pin(relay.step()));
                Poll::Ready(Some(Ok(bytes)))
            }
            Ok(None) => Poll::Ready(None),
            Err(broken) => Poll::Ready(Some(Err(broken))),
        }
    }
}

/// A stream between a transcriber and a client.
struct Relay {
    context: Rc<Context>,
    call: Call,
    stream: OpenStream,
}

impl Relay {
    async fn step(mut self) -> (Relay, Step) {
        let step = self.next().await;
        if step.is_err() {
            self.context.counters.count(|counts| counts.cut += 1);
        }
        (self, step)
    }

    async fn next(&mut self) -> Step {
        loop {
            match self.receive().await {
                Ok(Some(event)) if self.is_repeated(&event) => continue,
                Ok(Some(event)) if self.is_out_of_order(&event) => {
                    debug!("{}: event {} is out of order", self.call.head.request_id, event.id);
                    self.break_off(ClientError::MayHaveRun);
                }
                Ok(Some(event)) => {
                    self.call.last_event = Some(event.id);
                    return Ok(Some(event.raw));
                }
                Ok(None) => {
                    self.stream.ticket.end(Status::Ok, Report::new(), true);
                    return Ok(None);
                }
                Err(failure) => self.break_off(failure),
            }
            self.resume().await?;
        }
    }

    async fn receive(&mut self) -> Result<Option<StreamEvent>, ClientError> {
        let left = self.call.left();
        let silence = self.call.policy.target_latency * SILENCE_IN_TARGETS;
        let silence = if self.call.policy.resumable { silence.max(LEAST_SILENCE) } else { left };
        self.stream.events.next(silence.min(left)).await
    }

    /// A resumed stream may begin with an event that the client has.
    fn is_repeated(&self, event: &StreamEvent) -> bool {
        self.call.last_event.is_some_and(|last| event.id <= last)
    }

    /// Ids rise by one: after a gap, events are missing.
    fn is_out_of_order(&self, event: &StreamEvent) -> bool {
        self.call.last_event.is_some_and(|last| event.id != last + 1)
    }

    fn break_off(&mut self, failure: ClientError) {
        let timed_out = failure == ClientError::TimedOut;
        let status = if timed_out { Status::Timeout } else { Status::Reset };
        self.call.attempts.ran(None, timed_out);
        self.stream.ticket.end(status, Report::new(), true);
    }

    /// Opens the rest of the stream at another transcriber.
    async fn resume(&mut self) -> Result<(), BrokenAnswer> {
        if !self.call.policy.resumable || !self.call.attempts.allows_more() {
            return Err(BrokenAnswer);
        }
        match self.call.settle().await {
            Settled::Stream(stream) => {
                self.context.counters.count(|counts| counts.resumed += 1);
                self.stream = stream;
                Ok(())
            }
            Settled::Answer(_) | Settled::Ended(_) => Err(BrokenAnswer),
        }
    }
}
