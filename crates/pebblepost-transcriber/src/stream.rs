//! Streams of events as they arrive from a transcriber.

use crate::events::{EventParser, StreamEvent};
use crate::pool::PooledConnection;
use crate::{BufferedResponse, ClientError, ResponseHead};
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;
use std::fmt;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep};

/// Answer to a request for a stream.
#[derive(Debug)]
pub enum StreamResponse {
    /// A stream begins (a 2xx with `text/event-stream`).
    Stream(ResponseHead, EventStream),
    /// Any other answer, whole.
    Whole(BufferedResponse),
}

/// A stream whose head has arrived. Dropping it closes the connection, and with that the run.
pub struct EventStream {
    source: Option<Source>,
    parser: EventParser,
    silence: Option<Pin<Box<Sleep>>>,
}

/// Where the bytes of a stream come from.
struct Source {
    pooled: PooledConnection,
    body: Incoming,
    delimited: bool,
    allowance: Option<Duration>,
}

impl fmt::Debug for EventStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("EventStream").field("ended", &self.source.is_none()).finish_non_exhaustive()
    }
}

/// Whether an answer is a stream of events: a 2xx that says so.
pub(crate) fn is_event_stream(head: &ResponseHead) -> bool {
    const EVENT_STREAM: &str = "text/event-stream";
    let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or("");
    let essence = content_type.split(';').next().unwrap_or("").trim();
    head.status.is_success() && essence.eq_ignore_ascii_case(EVENT_STREAM)
}

impl EventStream {
    pub(crate) fn new(
        pooled: PooledConnection, body: Incoming, delimited: bool, allowance: Option<Duration>,
    ) -> EventStream {
        let source = Source { pooled, body, delimited, allowance };
        EventStream { source: Some(source), parser: EventParser::default(), silence: None }
    }

    /// Next event; `None` at the complete end of the body. An error if the connection broke, fell
    /// silent for `silence`, or brought bytes that are no event; the stream is over then.
    pub async fn next(&mut self, silence: Duration) -> Result<Option<StreamEvent>, ClientError> {
        let mut waiting = false;
        loop {
            match self.parser.next_event() {
                Ok(Some(event)) => return Ok(Some(event)),
                Ok(None) => {}
                Err(_) => return Err(self.fail(ClientError::MayHaveRun)),
            }
            if self.source.is_none() {
                return Ok(None);
            }
            if !waiting {
                self.start_timer(silence);
                waiting = true;
            }
            match self.next_bytes().await {
                Ok(Some(bytes)) => self.parser.feed(bytes),
                Ok(None) => self.end().await?,
                Err(failure) => return Err(self.fail(failure)),
            }
        }
    }

    /// Closes the connection.
    fn fail(&mut self, failure: ClientError) -> ClientError {
        self.source = None;
        self.parser = EventParser::default();
        failure
    }

    fn start_timer(&mut self, silence: Duration) {
        match &mut self.silence {
            Some(timer) => timer.as_mut().reset(Instant::now() + silence),
            None => self.silence = Some(Box::pin(sleep(silence))),
        }
    }

    /// Next bytes of the body; `None` at its end.
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, ClientError> {
        let Some(source) = &mut self.source else { return Ok(None) };
        let timer = &mut self.silence;
        poll_fn(|context| {
            loop {
                match source.pooled.connection.poll_frame(&mut source.body, context) {
                    Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                        Ok(data) if !data.is_empty() => return Poll::Ready(Ok(Some(data))),
                        _ => continue,
                    },
                    Poll::Ready(Some(Err(_))) => return Poll::Ready(Err(ClientError::MayHaveRun)),
                    Poll::Ready(None) => return Poll::Ready(Ok(None)),
                    Poll::Pending => break,
                }
            }
            match timer.as_mut().map(|timer| timer.as_mut().poll(context)) {
                Some(Poll::Ready(())) => Poll::Ready(Err(ClientError::TimedOut)),
                _ => Poll::Pending,
            }
        })
        .await
    }

    /// The body has ended: the connection may be used again if no event was cut.
    async fn end(&mut self) -> Result<(), ClientError> {
        let Some(source) = self.source.take() else { return Ok(()) };
        if !source.delimited || self.parser.is_inside_event() {
            return Err(self.fail(ClientError::MayHaveRun));
        }
        source.pooled.keep(source.allowance).await;
        Ok(())
    }
}
