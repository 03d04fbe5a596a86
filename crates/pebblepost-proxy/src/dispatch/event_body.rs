//! Body of a streamed response, which yields the events of a transcriber's stream.

use super::forwarding::{Forwarding, OpenStream};
use super::stream_relay::{BrokenStream, StreamRelay};
use crate::metrics::Metrics;
use bytes::Bytes;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

type NextEvent = Result<Option<Bytes>, BrokenStream>;
type NextEventFuture = Pin<Box<dyn Future<Output = (StreamRelay, NextEvent)>>>;

/// Body of a streamed response. Dropping it closes the connection to the transcriber.
pub(crate) struct EventBody {
    /// `None` once the stream has ended.
    next_event: Option<NextEventFuture>,
}

impl fmt::Debug for EventBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("EventBody").finish_non_exhaustive()
    }
}

impl EventBody {
    /// Creates the body of a stream whose head has been received.
    pub(super) fn new(forwarding: Forwarding, stream: OpenStream, metrics: Rc<Metrics>) -> EventBody {
        let relay = StreamRelay::new(forwarding, stream, metrics);
        EventBody { next_event: Some(Box::pin(relay.into_next_event())) }
    }

    /// Polls for the bytes of the next event. Yields `None` once the stream is complete.
    ///
    /// # Errors
    /// Yields [`BrokenStream`] once if the stream broke off and could not be resumed.
    pub(crate) fn poll_event(
        &mut self, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BrokenStream>>> {
        let Some(next_event) = &mut self.next_event else { return Poll::Ready(None) };
        let Poll::Ready((relay, event)) = next_event.as_mut().poll(context) else { return Poll::Pending };
        self.next_event = None;
        match event {
            Ok(Some(bytes)) => {
                self.next_event = Some(Box::pin(relay.into_next_event()));
                Poll::Ready(Some(Ok(bytes)))
            }
            Ok(None) => Poll::Ready(None),
            Err(broken) => Poll::Ready(Some(Err(broken))),
        }
    }
}
