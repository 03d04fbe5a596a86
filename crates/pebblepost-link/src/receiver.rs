//! The receiving half of a link.

use crate::error::{CloseReason, LinkError};
use crate::frame::FrameDecoder;
use crate::state::{LinkState, Phase};
use nanoserde::DeBin;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{Instant, Sleep, sleep_until};

/// The receiving half of a link. Dropping it closes the link.
#[derive(Debug)]
pub struct Receiver {
    state: Rc<LinkState>,
    half: OwnedReadHalf,
    decoder: FrameDecoder,
    last_read: Instant,
    read_timeout_timer: Pin<Box<Sleep>>,
}

/// Event that ends the wait for more bytes.
enum ReadEvent {
    Read(io::Result<usize>),
    LinkClosed,
    TimerFired,
}

impl Receiver {
    pub(crate) fn new(state: Rc<LinkState>, half: OwnedReadHalf) -> Receiver {
        let now = Instant::now();
        let read_timeout_timer = Box::pin(sleep_until(now + state.limits.read_timeout));
        let decoder = FrameDecoder::new(state.limits.max_frame_bytes);
        Receiver { state, half, decoder, last_read: now, read_timeout_timer }
    }

    /// Receives the next message.
    ///
    /// This method is cancel safe: no message is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails with [`LinkError::Closed`] once the link is closed. Every later call returns the same error.
    pub async fn receive<M: DeBin>(&mut self) -> Result<M, LinkError> {
        loop {
            if self.state.phase() == Phase::Flushing {
                return Err(self.closed_error());
            }
            match self.decoder.next_message() {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => self.read_more().await?,
                Err(error) => return Err(self.abort(error.into())),
            }
        }
    }

    async fn read_more(&mut self) -> Result<(), LinkError> {
        match self.next_event().await {
            ReadEvent::Read(Ok(0)) if self.decoder.has_partial_frame() => {
                Err(self.abort(CloseReason::IncompleteFrame))
            }
            ReadEvent::Read(Ok(0)) => Err(self.abort(CloseReason::ClosedByPeer)),
            ReadEvent::Read(Ok(_)) => {
                self.last_read = Instant::now();
                Ok(())
            }
            ReadEvent::Read(Err(error)) => Err(self.abort(CloseReason::ReadFailed(Arc::new(error)))),
            ReadEvent::LinkClosed => Err(self.closed_error()),
            ReadEvent::TimerFired => self.check_read_timeout(),
        }
    }

    /// Waits for the next event. Reads have precedence, so that messages that arrived before the link was closed are
    /// still delivered.
    async fn next_event(&mut self) -> ReadEvent {
        let buffer = self.decoder.read_buffer();
        tokio::select! {
            biased;
            read = self.half.read_buf(buffer) => ReadEvent::Read(read),
            () = self.state.receiver_wake.notified() => ReadEvent::LinkClosed,
            () = &mut self.read_timeout_timer => ReadEvent::TimerFired,
        }
    }

    /// Closes the link if the read timeout has passed, otherwise sets the timer again. The timer is reset only when
    /// it fires, because resetting it on every read would cost more.
    fn check_read_timeout(&mut self) -> Result<(), LinkError> {
        let read_timeout = self.state.limits.read_timeout;
        let deadline = self.last_read + read_timeout;
        if Instant::now() >= deadline {
            return Err(self.abort(CloseReason::ReadTimeout(read_timeout)));
        }
        self.read_timeout_timer.as_mut().reset(deadline);
        Ok(())
    }

    fn abort(&self, reason: CloseReason) -> LinkError {
        self.state.abort(reason);
        self.closed_error()
    }

    fn closed_error(&self) -> LinkError {
        // A later call of `receive` has to be woken as well.
        self.state.receiver_wake.notify_one();
        self.state.closed_error()
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.state.close(CloseReason::ReceiverDropped);
    }
}
