//! Event streams: reads events from the body of a response as they arrive.

use crate::error::ClientError;
use crate::event_parser::{EventParser, StreamEvent};
use crate::model::{BufferedResponse, ResponseHead};
use crate::pool::PooledConnection;
use crate::response::Framing;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;
use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep};

const EVENT_STREAM_MEDIA_TYPE: &str = "text/event-stream";

/// Response to a request for a stream.
#[derive(Debug)]
pub enum StreamResponse {
    /// Head of a response with a 2xx status and the content type `text/event-stream`, and its events.
    Stream(ResponseHead, EventStream),
    /// Any other response, read completely.
    Buffered(BufferedResponse),
}

/// The events of a response whose head has arrived.
///
/// Dropping it before its end closes the connection, which cancels the request at the transcriber.
pub struct EventStream {
    /// `None` once the stream has ended.
    source: Option<Source>,
    parser: EventParser,
    read_timer: Option<Pin<Box<Sleep>>>,
}

/// Connection and body from which the bytes of a stream are read.
struct Source {
    connection: PooledConnection,
    body: Incoming,
    framing: Framing,
}

impl fmt::Debug for EventStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("EventStream").field("ended", &self.source.is_none()).finish_non_exhaustive()
    }
}

/// Returns whether the body of a response is an event stream.
pub(crate) fn is_event_stream(head: &ResponseHead) -> bool {
    let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or("");
    let media_type = content_type.split(';').next().unwrap_or("").trim();
    head.status.is_success() && media_type.eq_ignore_ascii_case(EVENT_STREAM_MEDIA_TYPE)
}

impl EventStream {
    pub(crate) fn new(connection: PooledConnection, body: Incoming, framing: Framing) -> EventStream {
        let source = Source { connection, body, framing };
        EventStream { source: Some(source), parser: EventParser::default(), read_timer: None }
    }

    /// Waits for the next event. Returns `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::MayHaveRun`] if the connection broke, the stream is truncated or an event is invalid, and
    /// [`ClientError::TimedOut`] if no event was complete within `read_timeout`. Either closes the connection; later
    /// calls return `None`.
    pub async fn next(&mut self, read_timeout: Duration) -> Result<Option<StreamEvent>, ClientError> {
        let mut timer_started = false;
        loop {
            match self.parser.next_event() {
                Ok(Some(event)) => return Ok(Some(event)),
                Ok(None) => {}
                Err(_) => return Err(self.abort(ClientError::MayHaveRun)),
            }
            if self.source.is_none() {
                return Ok(None);
            }
            if !timer_started {
                self.start_timer(read_timeout);
                timer_started = true;
            }
            match self.read_bytes().await {
                Ok(Some(bytes)) => self.parser.feed(bytes),
                Ok(None) => self.finish().await?,
                Err(error) => return Err(self.abort(error)),
            }
        }
    }

    /// Closes the connection, discards incomplete bytes and returns `error`.
    fn abort(&mut self, error: ClientError) -> ClientError {
        self.source = None;
        self.parser = EventParser::default();
        error
    }

    fn start_timer(&mut self, read_timeout: Duration) {
        match &mut self.read_timer {
            Some(timer) => timer.as_mut().reset(Instant::now() + read_timeout),
            None => self.read_timer = Some(Box::pin(sleep(read_timeout))),
        }
    }

    /// Waits for bytes of the body. Returns `None` at its end.
    async fn read_bytes(&mut self) -> Result<Option<Bytes>, ClientError> {
        let Some(source) = &mut self.source else { return Ok(None) };
        let timer = &mut self.read_timer;
        poll_fn(|context| {
            loop {
                match source.connection.connection.poll_frame(&mut source.body, context) {
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

    /// Returns the connection to the pool at the end of the body.
    ///
    /// Fails if the end cannot be distinguished from a broken connection or is inside an event.
    async fn finish(&mut self) -> Result<(), ClientError> {
        let Some(source) = self.source.take() else { return Ok(()) };
        if !source.framing.is_delimited || self.parser.has_incomplete_event() {
            return Err(self.abort(ClientError::MayHaveRun));
        }
        source.connection.release(source.framing.idle_limit).await;
        Ok(())
    }
}
